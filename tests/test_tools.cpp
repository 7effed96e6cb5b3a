#include "tests/test_tools.h"

#include <stdlib.h>

#include <filesystem>

namespace spindleweir {

namespace {

std::string& OpenSections() {
  static std::string path;
  return path;
}

}  // namespace

Section::Section(const char* aText) : mLength(OpenSections().size()) {
  OpenSections() += std::string(mLength == 0 ? "" : " / ") + aText;
}

Section::~Section() {
  OpenSections().resize(mLength);
}

const char* Section::Path() {
  return OpenSections().c_str();
}

TemporaryFolder::TemporaryFolder() {
  std::string pattern =
      std::filesystem::temp_directory_path() / "spindleweir-test.XXXXXX";
  mPath = mkdtemp(pattern.data());
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code ec;
  std::filesystem::remove_all(mPath, ec);
}

bool RunLoopUntil(EventLoop& aLoop, const std::function<bool()>& aCondition) {
  constexpr Millis kLongest = 20000;
  const auto check = aLoop.Every(2, [&] {
    if (aCondition()) {
      aLoop.Stop();
    }
  });
  const auto end = aLoop.After(kLongest, [&aLoop] { aLoop.Stop(); });
  aLoop.Run();
  return aCondition();
}

ResultCode CodeThrownBy(const std::function<void()>& aCall) {
  try {
    aCall();
  } catch (const Error& error) {
    return error.Code();
  }
  return ResultCode::kOk;
}

}  // namespace spindleweir
