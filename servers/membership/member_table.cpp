#include "spindleweir/servers/membership/member_table.h"

#include <algorithm>

namespace spindleweir {

namespace {

/// Whether news goes before what is known (SWIM's order of precedence).
bool Overrides(MemberState aNewState, std::int64_t aNew, MemberState aOldState,
               std::int64_t aOld) {
  if (aNew != aOld) {
    return aNew > aOld;
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
    : mOptions(std::move(aOptions)), mNextAt(aNow), mRandom(mOptions.mSeed) {
  Spread({mOptions.mId, MemberState::kAlive, mOptions.mIncarnation});
}

void MemberTable::SetMembers(const std::vector<std::string>& aIds,
                             Millis aNow) {
  std::erase_if(mMembers, [&aIds](const auto& aItem) {
    return std::find(aIds.begin(), aIds.end(), aItem.first) == aIds.end();
  });
  for (const std::string& id : aIds) {
    if (id != mOptions.mId && !mMembers.contains(id)) {
      // Suspect until it answers or its time runs out.
      mMembers[id] = {.mState = MemberState::kSuspect, .mSuspectSince = aNow};
    }
  }
  mOrder.clear();
}

void MemberTable::Tick(Millis aNow) {
  std::vector<std::string> dead;
  for (const auto& [id, member] : mMembers) {
    if (member.mState == MemberState::kSuspect &&
        aNow - member.mSuspectSince >= mOptions.mSuspicion) {
      dead.push_back(id);
    }
  }
  for (const std::string& id : dead) {
    Set(id, MemberState::kDead, mMembers[id].mIncarnation, aNow);
  }
  if (!mProbed.empty() && !mIndirectSent &&
      aNow - mProbedAt >= mOptions.mProbeTimeout) {
    ProbeIndirectly();
  }
  if (aNow >= mNextAt) {
    StartProbe(aNow);
  }
}

void MemberTable::StartProbe(Millis aNow) {
  const auto it = mMembers.find(mProbed);
  if (it != mMembers.end() && it->second.mState == MemberState::kAlive) {
    Set(mProbed, MemberState::kSuspect, it->second.mIncarnation, aNow);
  }
  mNextAt = aNow + mOptions.mPeriod;
  mProbed = NextTarget();
  mProbedAt = aNow;
  mIndirectSent = false;
  if (!mProbed.empty()) {
    // A copy: the answer may come at once and clear the member.
    const std::string target = mProbed;
    mOptions.mSendProbe(target, "");
  }
}

void MemberTable::ProbeIndirectly() {
  mIndirectSent = true;
  std::vector<std::string> helpers;
  for (const auto& [id, member] : mMembers) {
    if (id != mProbed && member.mState == MemberState::kAlive) {
      helpers.push_back(id);
    }
  }
  std::shuffle(helpers.begin(), helpers.end(), mRandom);
  const auto most = static_cast<std::size_t>(mOptions.mIndirect);
  helpers.resize(std::min(helpers.size(), most));
  for (const std::string& helper : helpers) {
    mOptions.mSendProbe(mProbed, helper);
  }
}

std::string MemberTable::NextTarget() {
  if (mOrder.empty()) {
    for (const auto& [id, member] : mMembers) {
      mOrder.push_back(id);
    }
    std::shuffle(mOrder.begin(), mOrder.end(), mRandom);
  }
  if (mOrder.empty()) {
    return "";
  }
  std::string target = mOrder.back();
  mOrder.pop_back();
  return target;
}

void MemberTable::OnProbeAnswered(const std::string& aId, Millis aNow) {
  if (mProbed == aId) {
    mProbed.clear();
  }
  const auto it = mMembers.find(aId);
  if (it == mMembers.end() || it->second.mState == MemberState::kAlive) {
    return;
  }
  // The member's own later word carries its new incarnation; having heard it
  // is enough here.
  it->second.mState = MemberState::kAlive;
  it->second.mSuspectSince = aNow;
  mOptions.mOnStateChange({aId, MemberState::kAlive, it->second.mIncarnation});
}

void MemberTable::ApplyUpdates(std::span<const MemberUpdate> aUpdates,
                               Millis aNow) {
  for (const MemberUpdate& update : aUpdates) {
    if (update.mId == mOptions.mId) {
      const bool wrong = update.mState != MemberState::kAlive &&
                         update.mIncarnation >= mOptions.mIncarnation;
      if (wrong) {
        mOptions.mIncarnation = update.mIncarnation + 1;
        Spread({mOptions.mId, MemberState::kAlive, mOptions.mIncarnation});
      }
      continue;
    }
    const auto it = mMembers.find(update.mId);
    if (it != mMembers.end() &&
        Overrides(update.mState, update.mIncarnation, it->second.mState,
                  it->second.mIncarnation)) {
      Set(update.mId, update.mState, update.mIncarnation, aNow);
    }
  }
}

void MemberTable::Set(const std::string& aId, MemberState aState,
                      std::int64_t aIncarnation, Millis aNow) {
  Member& member = mMembers[aId];
  const bool changed = member.mState != aState;
  member.mState = aState;
  member.mIncarnation = aIncarnation;
  if (changed) {
    member.mSuspectSince = aNow;
    mOptions.mOnStateChange({aId, aState, aIncarnation});
  }
  Spread({aId, aState, aIncarnation});
}

void MemberTable::Spread(const MemberUpdate& aUpdate) {
  std::erase_if(mRumours, [&aUpdate](const Rumour& aRumour) {
    return aRumour.mUpdate.mId == aUpdate.mId;
  });
  mRumours.push_back({aUpdate, mOptions.mRepeats});
}

std::vector<MemberUpdate> MemberTable::NextGossip() {
  // The least told go first.
  std::stable_sort(mRumours.begin(), mRumours.end(),
                   [](const Rumour& aLeft, const Rumour& aRight) {
                     return aLeft.mLeft > aRight.mLeft;
                   });
  std::vector<MemberUpdate> updates;
  for (Rumour& rumour : mRumours) {
    if (updates.size() >= mOptions.mUpdatesPerMessage) {
      break;
    }
    updates.push_back(rumour.mUpdate);
    rumour.mLeft--;
  }
  std::erase_if(mRumours,
                [](const Rumour& aRumour) { return aRumour.mLeft <= 0; });
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
