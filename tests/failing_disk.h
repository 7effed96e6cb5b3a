/// A disk that fails, as the processes of a test see it: chosen calls of the C
/// library fail for files under one folder.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// Calls that write, in the order in which a file is replaced.
enum class DiskCall { kMakeFolder, kOpen, kWrite, kTruncate, kSync, kRename };

/// The calls that a full disk refuses.
std::set<DiskCall> CallsOfFullDisk();

/// While it exists, calls under some folders fail as asked, and it is known
/// what a loss of power would leave of their files. At most one exists at a
/// time.
class FailingDisk {
 public:
  FailingDisk();
  ~FailingDisk();
  FailingDisk(const FailingDisk&) = delete;
  FailingDisk& operator=(const FailingDisk&) = delete;

  /// The calls fail under these folders from now on, with the errno aError;
  /// with aAfter, once that many of them have succeeded.
  void Fail(std::vector<std::string> aFolders, std::set<DiskCall> aCalls,
            int aError, int aAfter = 0);
  /// The calls succeed again.
  void Recover();
  /// Number of calls that have failed.
  int Failures() const;

  /// From now on each sync of these files, or of files under these folders,
  /// waits until ReleaseSyncs(), but no longer than aLongest.
  void HoldSyncs(std::vector<std::string> aPaths, Millis aLongest = 10000);
  void ReleaseSyncs();
  /// Number of syncs that wait now.
  int HeldSyncs() const;

  /// Leaves of the files in a folder what is durable: the content at the last
  /// sync, under the name at the last sync of the folder. What a failed sync
  /// covered is lost, even if a later sync of the same file succeeds.
  void LosePower(const std::string& aFolder);
};

}  // namespace spindleweir
