#include "spindleweir/drivers/file_tools.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>

#include "spindleweir/core/error.h"

namespace spindleweir {

namespace {

constexpr int kFileMode = 0600;

[[noreturn]] void ThrowStorageFailed(const std::string& aWhat) {
  const std::error_code ec(errno, std::generic_category());
  throw Error(ResultCode::kStorageFailed, aWhat + ": " + ec.message());
}

void WriteAndSync(const std::string& aPath, std::string_view aBytes) {
  const int fd = open(aPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC, kFileMode);
  if (fd < 0) {
    ThrowStorageFailed("cannot open " + aPath);
  }
  const ssize_t n = write(fd, aBytes.data(), aBytes.size());
  const bool succeeded =
      n == static_cast<ssize_t>(aBytes.size()) && fsync(fd) == 0;
  close(fd);
  if (!succeeded) {
    ThrowStorageFailed("cannot write " + aPath);
  }
}

void SyncFolder(const std::string& aPath) {
  const int fd = open(aPath.c_str(), O_RDONLY | O_DIRECTORY);
  const bool succeeded = fd >= 0 && fsync(fd) == 0;
  if (fd >= 0) {
    close(fd);
  }
  if (!succeeded) {
    ThrowStorageFailed("cannot sync " + aPath);
  }
}

}  // namespace

std::optional<std::string> ReadFile(const std::string& aPath) {
  const std::ifstream in(aPath, std::ios::binary);
  if (!in) {
    return std::nullopt;
  }
  std::ostringstream buf;
  buf << in.rdbuf();
  return buf.str();
}

void ReplaceFile(const std::string& aPath, std::string_view aBytes) {
  const std::string temporary = aPath + ".new";
  WriteAndSync(temporary, aBytes);
  if (rename(temporary.c_str(), aPath.c_str()) != 0) {
    ThrowStorageFailed("cannot rename " + temporary);
  }
  const std::filesystem::path folder =
      std::filesystem::path(aPath).parent_path();
  SyncFolder(folder.empty() ? "." : folder.string());
}

void PrepareFolder(const std::string& aPath) {
  std::error_code ec;
  std::filesystem::create_directories(aPath, ec);
  if (ec || access(aPath.c_str(), W_OK | X_OK) != 0) {
    throw Error(ResultCode::kDataUnwritable,
                "the data folder " + aPath + " cannot be written");
  }
}

}  // namespace spindleweir
