#include "spindleweir/drivers/file_tools.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>

#include "spindleweir/core/error.h"

namespace spindleweir {

namespace {

constexpr int kFileMode = 0600;
constexpr std::size_t kReadBytes = 64 * 1024;

thread_local Millis sTimeInSyncs = 0;

/// Throws the error that errno names: kDataUnwritable if this process lacks the
/// right, else kStorageFailed.
[[noreturn]] void ThrowFileError(const std::string& aWhat) {
  const std::error_code ec(errno, std::generic_category());
  const bool lacksRight = ec == std::errc::permission_denied ||
                          ec == std::errc::operation_not_permitted ||
                          ec == std::errc::read_only_file_system;
  throw Error(
      lacksRight ? ResultCode::kDataUnwritable : ResultCode::kStorageFailed,
      aWhat + ": " + ec.message());
}

/// An open file; closes it at the end of the scope.
class OpenFile {
 public:
  OpenFile(const std::string& aPath, int aFlags)
      : mFd(open(aPath.c_str(), aFlags, kFileMode)) {}
  ~OpenFile() {
    if (mFd >= 0) {
      close(mFd);
    }
  }
  OpenFile(const OpenFile&) = delete;
  OpenFile& operator=(const OpenFile&) = delete;

  int Fd() const { return mFd; }

 private:
  int mFd;
};

void WriteAndSync(const std::string& aPath, std::string_view aBytes) {
  const OpenFile file(aPath, O_WRONLY | O_CREAT | O_TRUNC);
  if (file.Fd() < 0) {
    ThrowFileError("cannot open " + aPath);
  }
  if (!WriteAll(file.Fd(), aBytes) || !SyncFile(file.Fd())) {
    ThrowFileError("cannot write " + aPath);
  }
}

void SyncFolder(const std::string& aPath) {
  const OpenFile folder(aPath, O_RDONLY | O_DIRECTORY);
  if (folder.Fd() < 0 || !SyncFile(folder.Fd())) {
    ThrowFileError("cannot sync " + aPath);
  }
}

/// Whether the disk is full or broken, as opposed to a wrong path or a lack of
/// rights.
bool IsDiskError(const std::error_code& aError) {
  return aError == std::errc::no_space_on_device ||
         aError == std::errc::io_error || aError.value() == EDQUOT;
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

std::string ReadDataFile(const std::string& aPath) {
  const OpenFile file(aPath, O_RDONLY);
  if (file.Fd() < 0 && errno == ENOENT) {
    return "";
  }
  if (file.Fd() < 0) {
    ThrowFileError("cannot open " + aPath);
  }
  std::string bytes;
  std::array<char, kReadBytes> buf;
  for (;;) {
    const ssize_t n = read(file.Fd(), buf.data(), buf.size());
    if (n < 0) {
      ThrowFileError("cannot read " + aPath);
    }
    if (n == 0) {
      return bytes;
    }
    bytes.append(buf.data(), static_cast<std::size_t>(n));
  }
}

bool WriteAll(int aFd, std::string_view aBytes) {
  while (!aBytes.empty()) {
    const ssize_t n = write(aFd, aBytes.data(), aBytes.size());
    if (n < 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

bool SyncFile(int aFd, bool aDataOnly) {
  const Millis began = SteadyNow();
  const int result = aDataOnly ? fdatasync(aFd) : fsync(aFd);
  const int error = errno;
  sTimeInSyncs += SteadyNow() - began;
  errno = error;
  return result == 0;
}

Millis TimeInSyncs() {
  return sTimeInSyncs;
}

void ReplaceFile(const std::string& aPath, std::string_view aBytes) {
  const std::string temporary = aPath + ".new";
  try {
    WriteAndSync(temporary, aBytes);
    if (rename(temporary.c_str(), aPath.c_str()) != 0) {
      ThrowFileError("cannot rename " + temporary);
    }
  } catch (const Error&) {
    // On a full disk, an incomplete file takes space that others need.
    (void)unlink(temporary.c_str());
    throw;
  }
  SyncFolder(FolderOf(aPath));
}

std::string FolderOf(const std::string& aPath) {
  const std::filesystem::path folder =
      std::filesystem::path(aPath).parent_path();
  return folder.empty() ? "." : folder.string();
}

void RequireFolder(const std::string& aPath) {
  if (access(aPath.c_str(), W_OK | X_OK) != 0) {
    const std::error_code ec(errno, std::generic_category());
    throw Error(ResultCode::kDataUnwritable,
                "the folder " + aPath + " cannot be written: " + ec.message());
  }
}

void PrepareFolder(const std::string& aPath) {
  std::error_code ec;
  std::filesystem::create_directories(aPath, ec);
  if (ec && IsDiskError(ec)) {
    throw Error(ResultCode::kStorageFailed,
                "cannot create " + aPath + ": " + ec.message());
  }
  RequireFolder(aPath);
}

}  // namespace spindleweir
