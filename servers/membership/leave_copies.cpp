#include "spindleweir/servers/membership/leave_copies.h"

#include <algorithm>

namespace spindleweir {

namespace {

/// Required if nobody knows the voters: one disk may be lost right after.
constexpr int kMinCopies = 2;

}  // namespace

void LeaveCopies::OnStored(int aVoters) {
  mCopies++;
  mVoters = std::max(mVoters, aVoters);
  mOpen--;
  if (IsEnough()) {
    Decide(true);
  } else if (mOpen == 0) {
    Refuse();
  }
}

void LeaveCopies::OnFailed() {
  mOpen--;
  if (mOpen == 0) {
    Refuse();
  }
}

void LeaveCopies::Refuse() {
  Decide(false);
}

bool LeaveCopies::IsEnough() const {
  return mVoters > 0 ? 2 * mCopies > mVoters : mCopies >= kMinCopies;
}

void LeaveCopies::Decide(bool aIsAcknowledged) {
  if (const DoneHook done = std::exchange(mDone, nullptr)) {
    done(aIsAcknowledged);
  }
}

bool AcknowledgedLeaves::Contains(const std::string& aInstance,
                                  std::int64_t aStart) const {
  const auto it = mStarts.find(aInstance);
  return it != mStarts.end() && it->second == aStart;
}

void AcknowledgedLeaves::RemoveUnknown(const UpstreamRegistry& aRegistry) {
  std::erase_if(mStarts, [&aRegistry](const auto& aItem) {
    return aRegistry.Find(aItem.first) == nullptr;
  });
}

}  // namespace spindleweir
