#include "spindleweir/servers/membership/member_table.h"

#include <algorithm>

namespace spindleweir {

namespace {

/// Whether an update overrides the known state (SWIM's order of precedence).
bool Overrides(MemberState aNewState, std::int64_t aNewIncarnation,
               MemberState aOldState, std::int64_t aOldIncarnation) {
  if (aNewIncarnation != aOldIncarnation) {
    return aNewIncarnation > aOldIncarnation;
  }
  return static_cast<int>(aNewState) > static_cast<int>(aOldState);
}

}  // namespace

const char* NameOf(MemberState aState) {
  switch (aState) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDead:
      return "dead";
  }
  return "unknown";
}

MemberTable::MemberTable(MemberTableOptions aOptions, Millis aNow)
    : mOptions(std::move(aOptions)),
      mNextProbeAt(aNow),
      mRandom(mOptions.mSeed) {
  QueueUpdate({mOptions.mId, MemberState::kAlive, mOptions.mIncarnation});
}

void MemberTable::SetMembers(const std::vector<std::string>& aIds,
                             Millis aNow) {
  std::erase_if(mMembers, [&aIds](const auto& aItem) {
    return std::find(aIds.begin(), aIds.end(), aItem.first) == aIds.end();
  });
  for (const std::string& id : aIds) {
    if (id != mOptions.mId && !mMembers.contains(id)) {
      // Suspect until it answers or the suspicion times out.
      mMembers[id] = {.mState = MemberState::kSuspect, .mSuspectSince = aNow};
    }
  }
  mProbeOrder.clear();
}

void MemberTable::Tick(Millis aNow) {
  std::vector<std::string> dead;
  for (const auto& [id, member] : mMembers) {
    if (member.mState == MemberState::kSuspect &&
        aNow - member.mSuspectSince >= mOptions.mSuspicionTimeout) {
      dead.push_back(id);
    }
  }
  for (const std::string& id : dead) {
    SetState(id, MemberState::kDead, mMembers[id].mIncarnation, aNow);
  }
  if (!mProbeTarget.empty() && !mIndirectSent &&
      aNow - mProbeSentAt >= mOptions.mProbeTimeout) {
    ProbeIndirectly();
  }
  if (aNow >= mNextProbeAt) {
    StartProbe(aNow);
  }
}

void MemberTable::StartProbe(Millis aNow) {
  const auto it = mMembers.find(mProbeTarget);
  if (it != mMembers.end() && it->second.mState == MemberState::kAlive) {
    SetState(mProbeTarget, MemberState::kSuspect, it->second.mIncarnation,
             aNow);
  }
  mNextProbeAt = aNow + mOptions.mProbeInterval;
  mProbeTarget = NextTarget();
  mProbeSentAt = aNow;
  mIndirectSent = false;
  if (!mProbeTarget.empty()) {
    // A copy: an answer during the call clears mProbeTarget.
    const std::string target = mProbeTarget;
    mOptions.mSendProbe(target, "");
  }
}

void MemberTable::ProbeIndirectly() {
  mIndirectSent = true;
  std::vector<std::string> proxies;
  for (const auto& [id, member] : mMembers) {
    if (id != mProbeTarget && member.mState == MemberState::kAlive) {
      proxies.push_back(id);
    }
  }
  std::shuffle(proxies.begin(), proxies.end(), mRandom);
  const auto count = static_cast<std::size_t>(mOptions.mIndirectProbes);
  proxies.resize(std::min(proxies.size(), count));
  for (const std::string& proxy : proxies) {
    mOptions.mSendProbe(mProbeTarget, proxy);
  }
}

std::string MemberTable::NextTarget() {
  if (mProbeOrder.empty()) {
    for (const auto& [id, member] : mMembers) {
      mProbeOrder.push_back(id);
    }
    std::shuffle(mProbeOrder.begin(), mProbeOrder.end(), mRandom);
  }
  if (mProbeOrder.empty()) {
    return "";
  }
  std::string target = mProbeOrder.back();
  mProbeOrder.pop_back();
  return target;
}

void MemberTable::OnProbeAnswered(const std::string& aId, Millis aNow) {
  if (mProbeTarget == aId) {
    mProbeTarget.clear();
  }
  const auto it = mMembers.find(aId);
  if (it == mMembers.end() || it->second.mState == MemberState::kAlive) {
    return;
  }
  // The member sends its new incarnation itself in a later update; the answer
  // is enough to call it alive.
  it->second.mState = MemberState::kAlive;
  it->second.mSuspectSince = aNow;
  mOptions.mOnStateChange({aId, MemberState::kAlive, it->second.mIncarnation});
}

void MemberTable::ApplyUpdates(std::span<const MemberUpdate> aUpdates,
                               Millis aNow) {
  for (const MemberUpdate& update : aUpdates) {
    if (update.mId == mOptions.mId) {
      const bool mustRefute = update.mState != MemberState::kAlive &&
                              update.mIncarnation >= mOptions.mIncarnation;
      if (mustRefute) {
        mOptions.mIncarnation = update.mIncarnation + 1;
        QueueUpdate({mOptions.mId, MemberState::kAlive, mOptions.mIncarnation});
      }
      continue;
    }
    const auto it = mMembers.find(update.mId);
    if (it != mMembers.end() &&
        Overrides(update.mState, update.mIncarnation, it->second.mState,
                  it->second.mIncarnation)) {
      SetState(update.mId, update.mState, update.mIncarnation, aNow);
    }
  }
}

void MemberTable::SetState(const std::string& aId, MemberState aState,
                           std::int64_t aIncarnation, Millis aNow) {
  Member& member = mMembers[aId];
  const bool changed = member.mState != aState;
  member.mState = aState;
  member.mIncarnation = aIncarnation;
  if (changed) {
    member.mSuspectSince = aNow;
    mOptions.mOnStateChange({aId, aState, aIncarnation});
  }
  QueueUpdate({aId, aState, aIncarnation});
}

void MemberTable::QueueUpdate(const MemberUpdate& aUpdate) {
  std::erase_if(mPendingUpdates, [&aUpdate](const PendingUpdate& aPending) {
    return aPending.mUpdate.mId == aUpdate.mId;
  });
  mPendingUpdates.push_back({aUpdate, mOptions.mTransmissions});
}

std::vector<MemberUpdate> MemberTable::NextGossip() {
  // The updates that were sent least often go first.
  std::stable_sort(mPendingUpdates.begin(), mPendingUpdates.end(),
                   [](const PendingUpdate& aLeft, const PendingUpdate& aRight) {
                     return aLeft.mSendsLeft > aRight.mSendsLeft;
                   });
  std::vector<MemberUpdate> updates;
  for (PendingUpdate& pending : mPendingUpdates) {
    if (updates.size() >= mOptions.mUpdatesPerMessage) {
      break;
    }
    updates.push_back(pending.mUpdate);
    pending.mSendsLeft--;
  }
  std::erase_if(mPendingUpdates, [](const PendingUpdate& aPending) {
    return aPending.mSendsLeft <= 0;
  });
  return updates;
}

bool MemberTable::IsUsable(const std::string& aId) const {
  const auto it = mMembers.find(aId);
  return it != mMembers.end() && it->second.mState != MemberState::kDead;
}

MemberState MemberTable::StateOf(const std::string& aId) const {
  const auto it = mMembers.find(aId);
  return it == mMembers.end() ? MemberState::kDead : it->second.mState;
}

std::vector<MemberUpdate> MemberTable::All() const {
  std::vector<MemberUpdate> all;
  for (const auto& [id, member] : mMembers) {
    all.push_back({id, member.mState, member.mIncarnation});
  }
  return all;
}

}  // namespace spindleweir
