#include "core/log_output.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace spindleweir {

namespace {

/// A writable pipe accepts PIPE_BUF bytes without blocking.
constexpr std::size_t kMaxWriteBytes = 4096;

}  // namespace

LogOutput::LogOutput(int aFd, std::size_t aCapacity)
    : mFd(aFd), mCapacity(aCapacity) {}

bool LogOutput::Writable() const {
  pollfd item{.fd = mFd, .events = POLLOUT, .revents = 0};
  return poll(&item, 1, 0) == 1 && (item.revents & POLLOUT) != 0;
}

void LogOutput::Push(std::string aLine) {
  mBytes += aLine.size();
  mLines.push_back(std::move(aLine));
}

void LogOutput::Add(std::string_view aLine, bool aImportant) {
  const std::size_t limit = aImportant ? mCapacity : mCapacity / 2;
  if (mBytes + aLine.size() + 1 > limit) {
    Flush();
  }
  if (mBytes + aLine.size() + 1 > limit) {
    mDroppedLines++;
    return;
  }
  if (mDroppedLines > mReportedDroppedLines) {
    Push("{\"event\":\"log_left_out\",\"level\":\"warning\",\"lines\":" +
         std::to_string(mDroppedLines - mReportedDroppedLines) + "}\n");
    mReportedDroppedLines = mDroppedLines;
  }
  Push(std::string(aLine) + "\n");
  Flush();
}

void LogOutput::Flush() {
  while (!mLines.empty() && Writable()) {
    const std::string& line = mLines.front();
    const std::size_t n = std::min(kMaxWriteBytes, line.size() - mWritten);
    const ssize_t written = write(mFd, line.data() + mWritten, n);
    if (written <= 0) {
      return;
    }
    mWritten += static_cast<std::size_t>(written);
    if (mWritten == line.size()) {
      mBytes -= line.size();
      mLines.pop_front();
      mWritten = 0;
    }
  }
}

}  // namespace spindleweir
