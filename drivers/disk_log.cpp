#include "spindleweir/drivers/disk_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <system_error>

#include "spindleweir/core/digest.h"
#include "spindleweir/core/error.h"
#include "spindleweir/drivers/file_tools.h"

namespace spindleweir {

namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kHeaderBytes = 16;
constexpr std::size_t kMaxPayloadBytes = 256 * 1024 * 1024;

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

/// Calls aRecord with each complete record and returns their total size. Throws
/// kDataCorrupt for damage other than an incomplete last record.
std::size_t CompleteBytes(
    std::string_view aBytes, const std::string& aPath,
    const std::function<void(std::string_view)>& aRecord) {
  std::string_view rest = aBytes;
  while (!rest.empty()) {
    std::string_view payload;
    const RecordState state = InspectRecord(rest, payload);
    if (state == RecordState::kDamaged) {
      throw Error(ResultCode::kDataCorrupt,
                  aPath + " is damaged at byte " +
                      std::to_string(aBytes.size() - rest.size()));
    }
    if (state == RecordState::kTorn) {
      break;
    }
    aRecord(payload);
    rest.remove_prefix(kHeaderBytes + payload.size());
  }
  return aBytes.size() - rest.size();
}

}  // namespace

DiskLog::DiskLog(std::string aPath,
                 const std::function<void(std::string_view)>& aRecord)
    : mPath(std::move(aPath)) {
  std::string bytes = ReadDataFile(mPath);
  mBytes = CompleteBytes(bytes, mPath, aRecord);
  bytes.resize(mBytes);
  // Data whose sync failed, in this process or in an earlier one, can be read
  // back but may never reach the disk, so all of it is written again.
  ReplaceFile(mPath, bytes);
  OpenForAppend();
}

void DiskLog::Check(const std::string& aPath) {
  CompleteBytes(ReadDataFile(aPath), aPath, [](std::string_view) {});
}

DiskLog::~DiskLog() {
  if (mFd >= 0) {
    close(mFd);
  }
}

void DiskLog::OpenForAppend() {
  mFd = open(mPath.c_str(), O_WRONLY);
  if (mFd < 0 || lseek(mFd, 0, SEEK_END) < 0) {
    Fail();
  }
}

void DiskLog::Fail() {
  const std::error_code ec(errno, std::generic_category());
  mFailed = true;
  throw Error(ResultCode::kStorageFailed, mPath + ": " + ec.message());
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
  if (!WriteAll(mFd, mPending) || !SyncFile(mFd, true)) {
    Fail();
  }
  mBytes += mPending.size();
  mPending.clear();
}

void DiskLog::Rewrite(const std::function<void(DiskLog&)>& aFill) {
  mPending.clear();
  mFailed = false;
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
