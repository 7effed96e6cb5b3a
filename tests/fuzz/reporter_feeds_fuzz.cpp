/// Fuzzing of the changes of upstreams between controls. Upstreams report each
/// change to one control only, links between controls are cut, controls end and
/// start again without memory, and answers are late. Once all is calm, each
/// change that any running control knows must be known to all.
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include "spindleweir/servers/membership/peer_revisions.h"
#include "spindleweir/servers/membership/reporter_feeds.h"
#include "spindleweir/servers/membership/upstream_table.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr int kControls = 4;
constexpr int kUpstreams = 6;
constexpr Millis kPollInterval = 300;
constexpr Millis kContactTimeout = 1500;
constexpr int kCalmRounds = 20;

/// A defect injected into the polls.
enum class Defect {
  kNone,
  kForgetsLosses,  ///< A poller goes back to no earlier revision.
  kNamesAll,       ///< A poller names controls that do not answer.
};

/// One control process.
struct Control {
  std::string mIncarnation;
  bool mRuns = true;
  UpstreamRegistry mRegistry;
  ReporterFeeds mFeeds;
  PeerRevisions mRevisions{PeerRevisionsOptions{}};
  /// The incarnations that the known revisions are of, by address.
  std::map<std::string, std::string> mIncarnations;
  /// Revisions without going back, for kForgetsLosses.
  std::map<std::string, std::int64_t> mNewest;
};

/// An answer that has not arrived yet.
struct LateAnswer {
  int mTo = 0;
  std::string mToIncarnation;
  PeerAnswer mAnswer;
  FeedUpdates mUpdates;
};

class Simulation {
 public:
  explicit Simulation(Defect aDefect) : mDefect(aDefect) {
    for (int i = 0; i < kControls; i++) {
      mControls.push_back(std::make_unique<Control>());
      Start(i);
    }
    for (int i = 0; i < kCalmRounds; i++) {
      PollAll();
    }
  }

  void Step(int aChoice) {
    const int number = aChoice / 16;
    const int control = number % kControls;
    const int other = number / kControls % kControls;
    switch (aChoice % 16) {
      case 0:
        mControls[At(control)]->mRuns = false;
        break;
      case 1:
        Start(control);
        break;
      case 2:
        mCuts.insert(Link(control, other));
        break;
      case 3:
        mCuts.erase(Link(control, other));
        break;
      case 4:
        mNow += number % 400;
        break;
      case 5:
        if (!mLate.empty()) {
          Deliver(static_cast<std::size_t>(number) % mLate.size());
        }
        break;
      case 6:
        Poll(control, other, true);
        break;
      case 7:
        PollAll();
        break;
      case 8:
      case 9:
      case 10:
      case 11:
        Poll(control, other, false);
        break;
      default:
        Change(control, number % kUpstreams);
        break;
    }
  }

  /// Heals all links and lets the running controls poll each other.
  void Settle() {
    mCuts.clear();
    mLate.clear();
    for (int i = 0; i < kCalmRounds; i++) {
      PollAll();
    }
  }

  /// Whether the running controls know the same.
  bool Agrees() const {
    for (int i = 0; i < kUpstreams; i++) {
      std::set<int> layers;
      for (const auto& control : mControls) {
        const UpstreamRecord* record =
            control->mRegistry.Find("u" + std::to_string(i));
        if (control->mRuns) {
          layers.insert(record == nullptr ? -1 : record->mLayers.mTo);
        }
      }
      if (layers.size() > 1) {
        return false;
      }
    }
    return true;
  }

  int Rows() const { return mRows; }

 private:
  static std::size_t At(int aIndex) { return static_cast<std::size_t>(aIndex); }

  static std::pair<int, int> Link(int aLeft, int aRight) {
    return std::minmax(aLeft, aRight);
  }

  void Start(int aIndex) {
    auto control = std::make_unique<Control>();
    control->mIncarnation = "life" + std::to_string(++mStarts);
    mControls[At(aIndex)] = std::move(control);
  }

  /// An upstream reports new layers to one control.
  void Change(int aControl, int aUpstream) {
    Control& control = *mControls[At(aControl)];
    if (!control.mRuns) {
      return;
    }
    const int sequence = ++mSequence;
    control.mRegistry.ApplyHeartbeat(
        {.mInstance = "u" + std::to_string(aUpstream),
         .mService = "s",
         .mAddress = "10.0.0." + std::to_string(aUpstream) + ":80",
         .mZone = "z",
         .mSequence = sequence,
         .mLayers = {0, sequence}},
        mNow);
  }

  void PollAll() {
    mNow += kPollInterval;
    for (int from = 0; from < kControls; from++) {
      for (int to = 0; to < kControls; to++) {
        Poll(from, to, false);
      }
    }
  }

  std::set<std::string> Answering(Control& aPoller) {
    const auto timeout =
        mDefect == Defect::kNamesAll ? 1000 * kContactTimeout : kContactTimeout;
    const auto list = aPoller.mRevisions.Answering(timeout, mNow);
    std::set<std::string> answering(list.begin(), list.end());
    if (!answering.empty()) {
      answering.insert(aPoller.mIncarnation);
    }
    return answering;
  }

  void Poll(int aFrom, int aTo, bool aIsLate) {
    Control& poller = *mControls[At(aFrom)];
    Control& answerer = *mControls[At(aTo)];
    const bool arrives = aFrom != aTo && poller.mRuns && answerer.mRuns &&
                         !mCuts.contains(Link(aFrom, aTo));
    const std::set<std::string> answering = Answering(poller);
    const bool requests =
        poller.mRevisions.RequestsUpstreams(std::to_string(aTo));
    if (!arrives) {
      poller.mRevisions.OnFailed(std::to_string(aTo));
      return;
    }
    const std::string address = std::to_string(aTo);
    const std::int64_t stored = mDefect == Defect::kForgetsLosses
                                    ? poller.mNewest[address]
                                    : poller.mRevisions.Known(address);
    const bool isKnown = poller.mIncarnations[address] == answerer.mIncarnation;
    LateAnswer late{.mTo = aFrom,
                    .mToIncarnation = poller.mIncarnation,
                    .mAnswer = {.mAddress = address,
                                .mIncarnation = answerer.mIncarnation,
                                .mPolledAt = mNow}};
    if (requests) {
      late.mUpdates = answerer.mFeeds.UpdatesSince(
          answerer.mRegistry, isKnown ? stored : 0, answering, mNow);
    }
    late.mAnswer.mRevision = late.mUpdates.mRevision;
    mLate.push_back(std::move(late));
    if (!aIsLate) {
      Deliver(mLate.size() - 1);
    }
  }

  void Deliver(std::size_t aIndex) {
    const LateAnswer late = mLate[aIndex];
    mLate.erase(mLate.begin() + static_cast<std::ptrdiff_t>(aIndex));
    Control& poller = *mControls[At(late.mTo)];
    if (!poller.mRuns || poller.mIncarnation != late.mToIncarnation) {
      return;
    }
    poller.mRevisions.OnAnswer(late.mAnswer, mNow);
    poller.mIncarnations[late.mAnswer.mAddress] = late.mAnswer.mIncarnation;
    poller.mNewest[late.mAnswer.mAddress] = late.mAnswer.mRevision;
    for (const UpstreamUpdate& update : late.mUpdates.mUpdates) {
      for (const UpstreamRecord& record : UnpackUpstreams(update.mText)) {
        mRows++;
        poller.mRegistry.Merge(record, mNow, late.mAnswer.mIncarnation);
      }
    }
  }

  Defect mDefect;
  std::vector<std::unique_ptr<Control>> mControls;
  std::set<std::pair<int, int>> mCuts;
  std::vector<LateAnswer> mLate;
  Millis mNow = 100000;
  int mStarts = 0;
  int mSequence = 0;
  int mRows = 0;
};

}  // namespace

Test(reporter_feeds_fuzz, each_change_reaches_all_running_controls) {
  int rows = 0;
  cr_assert(rc::check("changes between controls", [&rows] {
    Simulation simulation(Defect::kNone);
    const auto choices = *rc::gen::container<std::vector<int>>(
        300, rc::gen::inRange(0, 16 * 1024));
    for (int choice : choices) {
      simulation.Step(choice);
    }
    simulation.Settle();
    rows += simulation.Rows();
    RC_ASSERT(simulation.Agrees());
  }));
  // Without changes the check would prove nothing.
  CHECK(rows > 1000);
}

Test(reporter_feeds_fuzz, injected_defects_are_detected) {
  for (const Defect defect : {Defect::kForgetsLosses, Defect::kNamesAll}) {
    std::mt19937 random(29);
    bool detected = false;
    for (int round = 0; round < 300 && !detected; round++) {
      Simulation simulation(defect);
      for (int i = 0; i < 300; i++) {
        simulation.Step(std::uniform_int_distribution<int>(0, 16383)(random));
      }
      simulation.Settle();
      detected = !simulation.Agrees();
    }
    CHECK_FOUND(detected, std::to_string(static_cast<int>(defect)));
  }
}
