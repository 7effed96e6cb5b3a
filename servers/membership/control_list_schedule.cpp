#include "spindleweir/servers/membership/control_list_schedule.h"

#include "spindleweir/core/digest.h"

namespace spindleweir {

namespace {

std::uint64_t DigestOf(const std::vector<ControlInfo>& aList) {
  std::string ids;
  for (const ControlInfo& info : aList) {
    ids += info.mId + " ";
  }
  return FastHash(ids);
}

}  // namespace

bool ControlListSchedule::IsDue(const ListPoller& aPoller,
                                const std::vector<ControlInfo>& aList,
                                Millis aNow) {
  ForgetSilent(aNow);
  const std::uint64_t digest = DigestOf(aList);
  const auto [it, isNew] = mSent.try_emplace(aPoller.mProcess);
  Sent& sent = it->second;
  sent.mPolledAt = aNow;
  const Millis interval =
      aPoller.mIsControl ? mOptions.mControlInterval : mOptions.mRouterInterval;
  const bool isDue = isNew || aPoller.mIsFirst || sent.mDigest != digest ||
                     aNow - sent.mAt >= interval;
  if (isDue) {
    sent.mAt = aNow;
    sent.mDigest = digest;
  }
  return isDue;
}

void ControlListSchedule::ForgetSilent(Millis aNow) {
  if (aNow - mCheckedAt < mOptions.mRetention) {
    return;
  }
  mCheckedAt = aNow;
  std::erase_if(mSent, [&](const auto& aItem) {
    return aNow - aItem.second.mPolledAt >= mOptions.mRetention;
  });
}

}  // namespace spindleweir
