#include "spindleweir/servers/membership/peer_revisions.h"

#include <algorithm>

namespace spindleweir {

bool PeerRevisions::RequestsUpstreams(const std::string& aAddress) {
  mPolled.insert(aAddress);
  if (!mHasList && mListSource.empty() && !mFailedSources.contains(aAddress)) {
    mListSource = aAddress;
  }
  return mHasList || mListSource == aAddress;
}

void PeerRevisions::OnFailed(const std::string& aAddress) {
  if (mHasList) {
    return;
  }
  mFailedSources.insert(aAddress);
  if (mFailedSources.size() >= mPolled.size()) {
    mFailedSources.clear();
  }
  if (mListSource == aAddress) {
    mListSource.clear();
  }
}

void PeerRevisions::OnAnswer(const PeerAnswer& aAnswer, Millis aNow) {
  mHasList = mHasList || mListSource == aAnswer.mAddress;
  mFailedSources.erase(aAnswer.mAddress);
  Peer& peer = mPeers[aAnswer.mAddress];
  if (peer.mIncarnation != aAnswer.mIncarnation) {
    if (peer.mAnswers) {
      GoBack(aAnswer.mAddress, aNow);
    }
    peer = Peer{.mIncarnation = aAnswer.mIncarnation};
  }
  peer.mAnswers = true;
  peer.mAnsweredPollAt = std::max(peer.mAnsweredPollAt, aAnswer.mPolledAt);
  peer.mSeenAt = aNow;
  // An answer to a poll from before it went back lacks what it went back for.
  if (aAnswer.mPolledAt > peer.mWentBackAt) {
    Store(peer, aAnswer.mRevision, aNow);
  }
}

void PeerRevisions::Store(Peer& aPeer, std::int64_t aRevision,
                          Millis aNow) const {
  aPeer.mRevision = aRevision;
  aPeer.mCheckpoints.push_back({aNow, aRevision});
  // One checkpoint older than the retention stays: it holds until the next.
  while (aPeer.mCheckpoints.size() > 1 &&
         aNow - aPeer.mCheckpoints[1].mAt > mOptions.mRetention) {
    aPeer.mCheckpoints.pop_front();
  }
}

std::vector<std::string> PeerRevisions::Answering(Millis aTimeout,
                                                  Millis aNow) {
  std::vector<std::string> answering;
  for (auto& [address, peer] : mPeers) {
    if (peer.mAnswers && aNow - peer.mSeenAt >= aTimeout) {
      peer.mAnswers = false;
      GoBack(address, aNow);
    }
    if (peer.mAnswers) {
      answering.push_back(peer.mIncarnation);
    }
  }
  return answering;
}

void PeerRevisions::GoBack(const std::string& aLost, Millis aNow) {
  const Millis until = mPeers[aLost].mAnsweredPollAt;
  for (auto& [address, peer] : mPeers) {
    if (address == aLost) {
      continue;
    }
    std::int64_t known = 0;
    for (const Checkpoint& checkpoint : peer.mCheckpoints) {
      known = checkpoint.mAt <= until ? checkpoint.mRevision : known;
    }
    std::erase_if(peer.mCheckpoints, [until](const Checkpoint& aCheckpoint) {
      return aCheckpoint.mAt > until;
    });
    peer.mRevision = std::min(peer.mRevision, known);
    peer.mWentBackAt = aNow;
  }
}

std::int64_t PeerRevisions::Known(const std::string& aAddress) const {
  const auto it = mPeers.find(aAddress);
  return it == mPeers.end() ? 0 : it->second.mRevision;
}

}  // namespace spindleweir
