#include "daemons/control/control_identity.h"

#include "spindleweir/core/digest.h"
#include "spindleweir/core/error.h"
#include "spindleweir/drivers/file_tools.h"
#include "spindleweir/servers/membership/control_directory.h"

namespace spindleweir {

namespace {

constexpr int kDiskNameBytes = 8;
/// Name of each disk at the first start, so that the first voters can derive
/// each other's ids from the seeds.
constexpr const char* kInitialDiskName = "first";

std::string IdentityPath(const ControlOptions& aOptions) {
  return aOptions.mData + "/identity";
}

/// Returns the name of this disk, which is stored on it; an empty disk gets a
/// new one.
std::string DiskName(const ControlOptions& aOptions) {
  const std::string path = IdentityPath(aOptions);
  const std::string owner = aOptions.mRpcListen.Text() + "#";
  const std::string stored = ReadDataFile(path);
  if (!stored.empty() && !stored.starts_with(owner)) {
    throw Error(ResultCode::kDataCorrupt,
                path + " belongs to " + stored + ", not to " + owner);
  }
  if (!stored.empty()) {
    return stored.substr(owner.size());
  }
  return aOptions.mFirstStart ? kInitialDiskName : RandomHex(kDiskNameBytes);
}

}  // namespace

ControlOptions ReadIdentity(ControlOptions aOptions) {
  aOptions.mIsNewDeployment =
      aOptions.mFirstStart && ReadDataFile(IdentityPath(aOptions)).empty();
  aOptions.mId = ControlId(aOptions.mRpcListen, DiskName(aOptions));
  aOptions.mInitialVoters.clear();
  if (aOptions.mFirstStart) {
    for (const Endpoint& seed : aOptions.mSeeds) {
      aOptions.mInitialVoters.push_back(ControlId(seed, kInitialDiskName));
    }
  }
  return aOptions;
}

void WriteIdentity(const ControlOptions& aOptions) {
  // A name that was read back may be lost with the next loss of power, if an
  // earlier process could not sync it. A vote under a lost name would be
  // forgotten, so that it is written again.
  ReplaceFile(IdentityPath(aOptions), aOptions.mId);
}

}  // namespace spindleweir
