/// Stores barred requests on this control's disk, so that they stay barred
/// after all processes have been stopped.
#pragma once

#include <cstdint>
#include <string>

#include "spindleweir/drivers/file_replacement.h"
#include "spindleweir/servers/limits/crash_ledger.h"

namespace spindleweir {

/// One file, which each save replaces as a whole. Every control writes it, the
/// leader too: if as many disks are lost as the deployment tolerates, the
/// remaining ones still have it.
class CrashStore {
 public:
  explicit CrashStore(std::string aPath, ReplaceHook aReplace = &ReplaceAndWait)
      : mPath(std::move(aPath)), mReplace(std::move(aReplace)) {}

  /// Merges the records of the file into aLedger. Ignores a missing or torn
  /// file; aOnInvalidRow is called for each row that cannot be used.
  void Load(CrashLedger& aLedger, Millis aNow,
            const InvalidRowHook& aOnInvalidRow);
  /// Writes the file if the set of barred requests has changed since the last
  /// save, at most once a second and not while it is being written. A failed
  /// write is retried after two seconds.
  void Save(const CrashLedger& aLedger, Millis aNow);

 private:
  void OnSaved(std::int64_t aRevision, Millis aBegan,
               const std::optional<Error>& aError);

  std::string mPath;
  ReplaceHook mReplace;
  bool mIsSaving = false;
  std::int64_t mSavedRevision = 0;  ///< Revision of the verdicts in the file.
  Millis mSavedAt = -1;             ///< Time of the last save.
  Millis mFailedAt = -1;            ///< Time of the last failed write.
};

}  // namespace spindleweir
