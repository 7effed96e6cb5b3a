#include "tests/failing_disk.h"

#include <dlfcn.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <climits>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <utility>

#include "spindleweir/drivers/file_tools.h"

namespace spindleweir {

namespace {

/// A file as the disk has it.
struct StoredFile {
  std::string mSynced;     ///< Content at the last sync that succeeded.
  bool mIsNamed = false;   ///< The folder was synced with this name.
  bool mLostData = false;  ///< A sync failed, and the file was not begun anew.
  bool mLostName = false;  ///< The same for its name and the folder.
};

struct State {
  std::vector<std::string> mFolders;
  std::set<DiskCall> mCalls;
  int mError = 0;
  int mAfter = 0;
  int mFailures = 0;
  std::vector<std::string> mHeldPaths;
  Millis mLongestHold = 0;
  int mHeldSyncs = 0;
  std::map<std::string, StoredFile> mFiles;
  /// Files that a rename replaced, until the folder is synced.
  std::map<std::string, StoredFile> mReplaced;
};

State* sState = nullptr;
/// Guards *sState: controls write on threads of their own. Recursive, since
/// reading a file to record its content opens it.
std::recursive_mutex sMutex;

/// Notified when fewer syncs are held.
std::condition_variable_any sSyncsReleased;

using Lock = std::lock_guard<std::recursive_mutex>;

bool IsUnder(const std::string& aPath, const std::string& aFolder) {
  return aPath == aFolder || aPath.starts_with(aFolder + "/");
}

bool IsUnderAny(const std::string& aPath,
                const std::vector<std::string>& aFolders) {
  return std::any_of(
      aFolders.begin(), aFolders.end(),
      [&aPath](const std::string& aFolder) { return IsUnder(aPath, aFolder); });
}

bool Refuses(DiskCall aCall, const std::string& aPath) {
  const Lock lock(sMutex);
  if (sState == nullptr || !sState->mCalls.contains(aCall)) {
    return false;
  }
  if (!IsUnderAny(aPath, sState->mFolders)) {
    return false;
  }
  if (sState->mAfter > 0) {
    sState->mAfter--;
    return false;
  }
  sState->mFailures++;
  errno = sState->mError;
  return true;
}

std::string PathOf(int aFd) {
  const std::string link = "/proc/self/fd/" + std::to_string(aFd);
  std::array<char, PATH_MAX> path{};
  const ssize_t n = readlink(link.c_str(), path.data(), path.size());
  return {path.data(), static_cast<std::size_t>(std::max<ssize_t>(n, 0))};
}

/// The same for an open file.
bool Refuses(DiskCall aCall, int aFd) {
  const Lock lock(sMutex);
  return sState != nullptr && sState->mCalls.contains(aCall) &&
         Refuses(aCall, PathOf(aFd));
}

/// Waits while syncs of the file are held.
void AwaitRelease(const std::string& aPath) {
  std::unique_lock<std::recursive_mutex> lock(sMutex);
  const auto isReleased = [&aPath] {
    return sState == nullptr || !IsUnderAny(aPath, sState->mHeldPaths);
  };
  if (isReleased()) {
    return;
  }
  sState->mHeldSyncs++;
  sSyncsReleased.wait_for(lock, std::chrono::milliseconds(sState->mLongestHold),
                          isReleased);
  if (sState != nullptr) {
    sState->mHeldSyncs--;
  }
}

void OnOpened(const std::string& aPath, int aFlags) {
  const Lock lock(sMutex);
  if (sState != nullptr && (aFlags & O_TRUNC) != 0) {
    sState->mFiles[aPath].mLostData = false;
  }
}

void OnSynced(const std::string& aPath, bool aSucceeded) {
  const Lock lock(sMutex);
  if (sState == nullptr) {
    return;
  }
  if (std::filesystem::is_directory(aPath)) {
    for (auto& [path, file] : sState->mFiles) {
      if (IsUnder(path, aPath) && !file.mIsNamed) {
        file.mLostName = file.mLostName || !aSucceeded;
        file.mIsNamed = !file.mLostName;
      }
    }
    std::erase_if(sState->mReplaced, [](const auto& aItem) {
      return sState->mFiles[aItem.first].mIsNamed;
    });
    return;
  }
  StoredFile& file = sState->mFiles[aPath];
  file.mLostData = file.mLostData || !aSucceeded;
  if (!file.mLostData) {
    file.mSynced = ReadFile(aPath).value_or("");
  }
}

void OnRenamed(const std::string& aFrom, const std::string& aTo) {
  const Lock lock(sMutex);
  if (sState == nullptr) {
    return;
  }
  const auto old = sState->mFiles.find(aTo);
  if (old != sState->mFiles.end() && old->second.mIsNamed) {
    sState->mReplaced.emplace(aTo, old->second);
  }
  sState->mFiles[aTo] = sState->mFiles[aFrom];
  sState->mFiles[aTo].mIsNamed = false;
  sState->mFiles[aTo].mLostName = false;
  sState->mFiles.erase(aFrom);
}

template <class Function>
Function* RealFunction(const char* aName) {
  return reinterpret_cast<Function*>(dlsym(RTLD_NEXT, aName));
}

}  // namespace

std::set<DiskCall> CallsOfFullDisk() {
  return {DiskCall::kMakeFolder, DiskCall::kOpen, DiskCall::kWrite,
          DiskCall::kSync};
}

FailingDisk::FailingDisk() {
  const Lock lock(sMutex);
  sState = new State();
}

FailingDisk::~FailingDisk() {
  const Lock lock(sMutex);
  delete std::exchange(sState, nullptr);
  sSyncsReleased.notify_all();
}

void FailingDisk::Fail(std::vector<std::string> aFolders,
                       std::set<DiskCall> aCalls, int aError, int aAfter) {
  const Lock lock(sMutex);
  sState->mFolders = std::move(aFolders);
  sState->mCalls = std::move(aCalls);
  sState->mError = aError;
  sState->mAfter = aAfter;
}

void FailingDisk::Recover() {
  const Lock lock(sMutex);
  sState->mCalls.clear();
}

int FailingDisk::Failures() const {
  const Lock lock(sMutex);
  return sState->mFailures;
}

void FailingDisk::HoldSyncs(std::vector<std::string> aPaths, Millis aLongest) {
  const Lock lock(sMutex);
  sState->mHeldPaths = std::move(aPaths);
  sState->mLongestHold = aLongest;
  sSyncsReleased.notify_all();
}

void FailingDisk::ReleaseSyncs() {
  const Lock lock(sMutex);
  sState->mHeldPaths.clear();
  sSyncsReleased.notify_all();
}

int FailingDisk::HeldSyncs() const {
  const Lock lock(sMutex);
  return sState->mHeldSyncs;
}

void FailingDisk::LosePower(const std::string& aFolder) {
  const Lock lock(sMutex);
  std::map<std::string, StoredFile> durable;
  for (const auto& [path, file] : sState->mFiles) {
    if (IsUnder(path, aFolder) && file.mIsNamed) {
      durable[path] = file;
    }
  }
  for (const auto& [path, file] : sState->mReplaced) {
    if (IsUnder(path, aFolder)) {
      durable[path] = file;
    }
  }
  std::filesystem::remove_all(aFolder);
  std::filesystem::create_directories(aFolder);
  for (const auto& [path, file] : durable) {
    std::ofstream(path, std::ios::binary) << file.mSynced;
  }
}

}  // namespace spindleweir

using namespace spindleweir;

/// These stand in the place of the C library's, for all that the program links.
extern "C" {

int mkdir(const char* aPath, mode_t aMode) noexcept {
  static auto* const real = RealFunction<int(const char*, mode_t)>("mkdir");
  return Refuses(DiskCall::kMakeFolder, aPath) ? -1 : real(aPath, aMode);
}

int open(const char* aPath, int aFlags, ...) {
  static auto* const real = RealFunction<int(const char*, int, ...)>("open");
  const bool creates = (aFlags & O_CREAT) != 0;
  va_list arguments;
  va_start(arguments, aFlags);
  const mode_t mode = creates ? va_arg(arguments, mode_t) : 0;
  va_end(arguments);
  if (creates && Refuses(DiskCall::kOpen, aPath)) {
    return -1;
  }
  OnOpened(aPath, aFlags);
  return real(aPath, aFlags, mode);
}

ssize_t write(int aFd, const void* aBytes, size_t aSize) {
  static auto* const real =
      RealFunction<ssize_t(int, const void*, size_t)>("write");
  return Refuses(DiskCall::kWrite, aFd) ? -1 : real(aFd, aBytes, aSize);
}

int ftruncate(int aFd, off_t aSize) noexcept {
  static auto* const real = RealFunction<int(int, off_t)>("ftruncate");
  return Refuses(DiskCall::kTruncate, aFd) ? -1 : real(aFd, aSize);
}

int fsync(int aFd) {
  static auto* const real = RealFunction<int(int)>("fsync");
  AwaitRelease(PathOf(aFd));
  const int result = Refuses(DiskCall::kSync, aFd) ? -1 : real(aFd);
  const int error = errno;
  OnSynced(PathOf(aFd), result == 0);
  errno = error;
  return result;
}

int fdatasync(int aFd) {
  return fsync(aFd);
}

int rename(const char* aFrom, const char* aTo) noexcept {
  static auto* const real =
      RealFunction<int(const char*, const char*)>("rename");
  if (Refuses(DiskCall::kRename, std::string(aTo))) {
    return -1;
  }
  const int result = real(aFrom, aTo);
  if (result == 0) {
    OnRenamed(aFrom, aTo);
  }
  return result;
}

}  // extern "C"
