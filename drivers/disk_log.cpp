#include "spindleweir/drivers/disk_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <cstring>
#include <system_error>

#include "spindleweir/core/digest.h"
#include "spindleweir/core/error.h"
#include "spindleweir/drivers/file_tools.h"

namespace spindleweir {

namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kHeaderBytes = 16;
constexpr std::size_t kMaxPayloadBytes = 256 * 1024 * 1024;
constexpr int kFileMode = 0600;

template <class T>
void PutNumber(std::string& aOut, T aNumber) {
  for (std::size_t i = 0; i < sizeof(T); i++) {
    aOut += static_cast<char>((aNumber >> (8 * i)) & 0xff);
  }
}

template <class T>
T GetNumber(std::string_view aIn) {
  T number = 0;
  for (std::size_t i = 0; i < sizeof(T); i++) {
    number |= static_cast<T>(static_cast<unsigned char>(aIn[i])) << (8 * i);
  }
  return number;
}

std::uint32_t LengthChecksum(std::string_view aLength) {
  return static_cast<std::uint32_t>(FastHash(aLength, 1));
}

void PutRecord(std::string& aOut, std::string_view aPayload) {
  std::string length;
  PutNumber(length, static_cast<std::uint32_t>(aPayload.size()));
  aOut += length;
  PutNumber(aOut, LengthChecksum(length));
  PutNumber(aOut, FastHash(aPayload));
  aOut += aPayload;
}

/// State of the next record of a file.
enum class RecordState { kComplete, kTorn, kDamaged };

RecordState InspectRecord(std::string_view aRest, std::string_view& aPayload) {
  const bool zeros = std::all_of(aRest.begin(), aRest.end(),
                                 [](char aByte) { return aByte == 0; });
  if (aRest.size() < kHeaderBytes || zeros) {
    return RecordState::kTorn;
  }
  const auto checksum =
      GetNumber<std::uint32_t>(aRest.substr(kLengthBytes, kLengthBytes));
  if (checksum != LengthChecksum(aRest.substr(0, kLengthBytes))) {
    return RecordState::kDamaged;
  }
  const auto n = GetNumber<std::uint32_t>(aRest);
  if (n > aRest.size() - kHeaderBytes) {
    return RecordState::kTorn;
  }
  aPayload = aRest.substr(kHeaderBytes, n);
  if (FastHash(aPayload) == GetNumber<std::uint64_t>(aRest.substr(8))) {
    return RecordState::kComplete;
  }
  const bool last = n == aRest.size() - kHeaderBytes;
  return last ? RecordState::kTorn : RecordState::kDamaged;
}

}  // namespace

DiskLog::DiskLog(std::string aPath,
                 const std::function<void(std::string_view)>& aRecord)
    : mPath(std::move(aPath)) {
  Replay(aRecord);
  OpenForAppend();
}

DiskLog::~DiskLog() {
  if (mFd >= 0) {
    close(mFd);
  }
}

void DiskLog::Replay(const std::function<void(std::string_view)>& aRecord) {
  const std::string bytes = ReadFile(mPath).value_or("");
  std::string_view rest = bytes;
  while (!rest.empty()) {
    std::string_view payload;
    const RecordState state = InspectRecord(rest, payload);
    if (state == RecordState::kDamaged) {
      throw Error(ResultCode::kDataCorrupt,
                  mPath + " is damaged at byte " +
                      std::to_string(bytes.size() - rest.size()));
    }
    if (state == RecordState::kTorn) {
      break;
    }
    aRecord(payload);
    rest.remove_prefix(kHeaderBytes + payload.size());
  }
  mBytes = bytes.size() - rest.size();
}

void DiskLog::OpenForAppend() {
  mFd = open(mPath.c_str(), O_WRONLY | O_CREAT, kFileMode);
  const bool succeeded = mFd >= 0 &&
                         ftruncate(mFd, static_cast<off_t>(mBytes)) == 0 &&
                         lseek(mFd, 0, SEEK_END) >= 0 && fsync(mFd) == 0;
  if (!succeeded) {
    mFailed = true;
    const std::error_code ec(errno, std::generic_category());
    throw Error(ResultCode::kStorageFailed, mPath + ": " + ec.message());
  }
}

void DiskLog::CheckUsable() const {
  if (mFailed) {
    throw Error(ResultCode::kStorageFailed,
                mPath + " cannot be used after an earlier failure");
  }
}

void DiskLog::Append(std::string_view aPayload) {
  CheckUsable();
  if (aPayload.size() > kMaxPayloadBytes) {
    throw Error(ResultCode::kStorageFailed,
                mPath + ": the record exceeds 256 MiB");
  }
  PutRecord(mPending, aPayload);
}

void DiskLog::Sync() {
  CheckUsable();
  std::string_view rest = mPending;
  while (!rest.empty()) {
    const ssize_t n = write(mFd, rest.data(), rest.size());
    if (n < 0) {
      break;
    }
    rest.remove_prefix(static_cast<std::size_t>(n));
  }
  if (!rest.empty() || fdatasync(mFd) != 0) {
    mFailed = true;
    const std::error_code ec(errno, std::generic_category());
    throw Error(ResultCode::kStorageFailed, mPath + ": " + ec.message());
  }
  mBytes += mPending.size();
  mPending.clear();
}

void DiskLog::Rewrite(const std::function<void(DiskLog&)>& aFill) {
  CheckUsable();
  mPending.clear();
  aFill(*this);
  const std::string bytes = std::move(mPending);
  mPending.clear();
  mFailed = true;
  ReplaceFile(mPath, bytes);
  close(mFd);
  mBytes = bytes.size();
  mFailed = false;
  OpenForAppend();
}

}  // namespace spindleweir
