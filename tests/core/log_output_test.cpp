#include "core/log_output.h"

#include <unistd.h>

#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

/// A pipe that is read only by Read().
struct Pipe {
  Pipe() { (void)pipe(mFds); }
  ~Pipe() {
    close(mFds[0]);
    close(mFds[1]);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  std::string Read() {
    std::string text(1 << 20, '\0');
    const ssize_t n = read(mFds[0], text.data(), text.size());
    text.resize(n < 0 ? 0 : static_cast<std::size_t>(n));
    return text;
  }

  int mFds[2] = {-1, -1};
};

}  // namespace

Test(log_output, a_pipe_without_reader_does_not_block) {
  Pipe pipe;
  LogOutput output(pipe.mFds[1], 10000);
  const std::string line(100, 'x');
  for (int i = 0; i < 5000; i++) {
    output.Add(line, false);
  }
  CHECK(output.DroppedLines() > 0);
  CHECK(output.BufferedBytes() <= 5000);
  SECTION("important lines are still buffered") {
    const std::int64_t before = output.DroppedLines();
    output.Add("important", true);
    CHECK(output.DroppedLines() == before);
    CHECK(output.BufferedBytes() <= 10000);
  }
  SECTION(
      "once the pipe is read, writing resumes and dropped lines are reported") {
    std::string text;
    for (int i = 0; i < 40; i++) {
      text += pipe.Read();
      output.Add("later", true);
    }
    CHECK(text.find("important\n") != std::string::npos);
    CHECK(text.find("\"event\":\"log_left_out\"") != std::string::npos);
    CHECK(text.find("later\n") != std::string::npos);
  }
}
