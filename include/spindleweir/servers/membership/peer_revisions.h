/// Up to which revision a control knows the registries of the others.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// The answer of another control to a poll.
struct PeerAnswer {
  std::string mAddress;
  std::string mIncarnation;
  std::int64_t mRevision = 0;  ///< Known once the answer is applied.
  Millis mPolledAt = 0;        ///< When the poll was sent.
};

struct PeerRevisionsOptions {
  /// Known revisions are stored for this time; longer than it takes to notice
  /// that a control does not answer.
  Millis mRetention = 15000;
};

/// The revisions known of other controls. Each control reports its own changes,
/// and those of another one only to pollers that this one does not answer. What
/// a control reported to some pollers before it failed, the others get from
/// these: once a poller notices the failure, it goes back to the revisions that
/// it knew when that control last answered. Takes the time with each call.
class PeerRevisions {
 public:
  explicit PeerRevisions(PeerRevisionsOptions aOptions) : mOptions(aOptions) {}

  void OnAnswer(const PeerAnswer& aAnswer, Millis aNow);
  /// A poll of a control got no answer.
  void OnFailed(const std::string& aAddress);
  /// Whether a poll of a control should request upstreams. A control that has
  /// just started requests the full list from one other control, and the parts
  /// of the others once it has named itself and them: from all at once, C
  /// controls would each send it the full list.
  bool RequestsUpstreams(const std::string& aAddress);
  /// Notices controls that have not answered for aTimeout. Returns the
  /// incarnations of those that answer.
  std::vector<std::string> Answering(Millis aTimeout, Millis aNow);
  /// The known revision of a control's present incarnation; 0: none.
  std::int64_t Known(const std::string& aAddress) const;

 private:
  /// A revision that was known from some time on.
  struct Checkpoint {
    Millis mAt = 0;
    std::int64_t mRevision = 0;
  };
  struct Peer {
    std::string mIncarnation;
    std::int64_t mRevision = 0;
    bool mAnswers = false;
    Millis mAnsweredPollAt = 0;  ///< Sending time of the last answered poll.
    Millis mSeenAt = 0;
    Millis mWentBackAt = -1;
    std::deque<Checkpoint> mCheckpoints;  ///< Oldest first.
  };

  /// A control was lost: goes back to what was known of all others before.
  void GoBack(const std::string& aLost, Millis aNow);
  void Store(Peer& aPeer, std::int64_t aRevision, Millis aNow) const;

  PeerRevisionsOptions mOptions;
  std::map<std::string, Peer> mPeers;    ///< By address.
  bool mHasList = false;                 ///< Received a full list.
  std::string mListSource;               ///< Requested for it; empty: none.
  std::set<std::string> mFailedSources;  ///< Until all that are polled failed.
  std::set<std::string> mPolled;         ///< Addresses.
};

}  // namespace spindleweir
