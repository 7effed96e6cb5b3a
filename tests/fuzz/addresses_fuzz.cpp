/// Fuzzing of addresses that change hands, for upstreams that take a new name
/// at each start and tell no start. Heartbeats of all incarnations come late
/// and out of order, first ones too, at several controls that report to each
/// other and to a router, and controls start again with or without their list.
/// After each heartbeat of the incarnation that runs, all must hold it as
/// ready.
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "spindleweir/servers/membership/upstream_registry.h"
#include "tests/fuzz/play_random.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr int kAddresses = 2;
constexpr int kControls = 3;
/// The controls and a router that polls them all.
constexpr int kRegistries = kControls + 1;
constexpr int kRouter = kControls;
constexpr Millis kHeartbeatInterval = 1200;
constexpr Millis kSilenceTimeout = 3600;
/// An address is used again this long after a process there has ended.
constexpr Millis kReuseTime = 2000;
constexpr int kPlaysPerTest = 60;
constexpr int kTroubledIntervals = 12;
constexpr int kCalmIntervals = 8;
/// Heartbeats after which no ended incarnation may be in use any more, once no
/// more of its own arrive.
constexpr int kIntervalsToEnd = 2;

/// A defect injected into the messages.
enum class Defect {
  kNone,
  kFirstEndsOthers,   ///< A first heartbeat ends whom it finds at its address.
  kSequencesLost,     ///< All heartbeats have one sequence.
  kHeartbeatsUntold,  ///< Controls report changes only, and answer nothing.
};

/// One process at an address.
struct Process {
  std::string mInstance;
  std::string mAddress;
  std::int64_t mSequence = 0;
  /// All heartbeats of its first intervals are held up.
  bool mIsCutOff = false;
};

/// A heartbeat or a leave that has not arrived yet.
struct Message {
  UpstreamRecord mRecord;
  bool mLeaves = false;
};

class Simulation {
 public:
  Simulation(unsigned aSeed, Defect aDefect)
      : mRandom(aSeed), mDefect(aDefect) {
    for (int i = 0; i < kAddresses; i++) {
      Start(i);
    }
  }

  /// Returns why the play failed; empty: it didn't.
  std::string Play() {
    for (int i = 0; i < kTroubledIntervals; i++) {
      PassInterval(true);
    }
    for (int i = 0; i < kCalmIntervals && mFailure.empty(); i++) {
      PassInterval(false);
      CheckRunning();
    }
    mMessages.clear();
    for (int i = 0; i < kIntervalsToEnd; i++) {
      PassInterval(false);
    }
    CheckRunning();
    CheckEnded();
    return mFailure;
  }

  int LateFirsts() const { return mLateFirsts; }

 private:
  /// The time between two heartbeats. In trouble processes end, heartbeats are
  /// held up and reports fail.
  void PassInterval(bool aTroubled) {
    const int late = mRandom.Below(4);
    for (int i = 0; i < late; i++) {
      mNow += 1 + mRandom.Below(kHeartbeatInterval / 4);
      DeliverLate();
      PollSome(aTroubled);
    }
    if (mRandom.Chance(0.2)) {
      RestartControl(mRandom.Below(kControls));
    }
    if (aTroubled && mRandom.Chance(0.4)) {
      EndAndStart(mRandom.Below(kAddresses));
    }
    mNow += 1 + mRandom.Below(kHeartbeatInterval / 4);
    for (Process& process : mRunning) {
      SendHeartbeat(process,
                    aTroubled && (process.mIsCutOff || mRandom.Chance(0.3)));
    }
    for (int i = 0; i < kControls; i++) {
      At(i).Expire(kSilenceTimeout, mNow);
    }
    At(kRouter).RemoveEnded(mNow);
    if (aTroubled) {
      PollSome(true);
    } else {
      PollAll();
      PollAll();
    }
  }

  void Start(int aAddress) {
    mRunning[Index(aAddress)] = {
        .mInstance = "p" + std::to_string(++mStarts),
        .mAddress = "10.0.0." + std::to_string(aAddress + 1) + ":80",
        .mIsCutOff = mRandom.Chance(0.4)};
  }

  void EndAndStart(int aAddress) {
    const Process ended = mRunning[Index(aAddress)];
    if (mRandom.Chance(0.3)) {
      mMessages.push_back({RecordOf(ended), true});
    }
    mEnded.push_back(ended);
    mNow += kReuseTime;
    Start(aAddress);
  }

  static UpstreamRecord RecordOf(const Process& aProcess) {
    return {.mInstance = aProcess.mInstance,
            .mService = "s",
            .mAddress = aProcess.mAddress,
            .mZone = "z",
            .mSequence = aProcess.mSequence};
  }

  void SendHeartbeat(Process& aProcess, bool aIsHeldUp) {
    aProcess.mSequence += mDefect == Defect::kSequencesLost ? 0 : 1;
    const Message message{RecordOf(aProcess)};
    if (aIsHeldUp) {
      mMessages.push_back(message);
    } else {
      DeliverTo(message, mRandom.Below(kControls));
    }
  }

  void DeliverLate() {
    if (mMessages.empty()) {
      return;
    }
    const auto it =
        mMessages.begin() + mRandom.Below(static_cast<int>(mMessages.size()));
    const Message message = *it;
    mMessages.erase(it);
    DeliverTo(message, mRandom.Below(kControls));
  }

  void DeliverTo(const Message& aMessage, int aControl) {
    UpstreamRegistry& registry = At(aControl);
    const UpstreamRecord& record = aMessage.mRecord;
    if (aMessage.mLeaves) {
      registry.ApplyLeave(record.mInstance, mNow);
      mLeft.insert(record.mInstance);
      return;
    }
    const bool isFirst = registry.Find(record.mInstance) == nullptr;
    for (const Process& running : mRunning) {
      const bool finds = isFirst && running.mAddress == record.mAddress &&
                         running.mInstance != record.mInstance &&
                         registry.Find(running.mInstance) != nullptr;
      mLateFirsts += finds ? 1 : 0;
      if (finds && mDefect == Defect::kFirstEndsOthers) {
        registry.ApplyLeave(running.mInstance, mNow);
      }
    }
    registry.ApplyHeartbeat(record, mNow);
  }

  /// A control starts again with the list that it stored, or without any.
  void RestartControl(int aControl) {
    UpstreamRegistry next;
    if (mRandom.Chance(0.5)) {
      for (const UpstreamRecord* record : At(aControl).OfService("")) {
        if (record->mState == UpstreamState::kReady) {
          next.Merge(*record, mNow);
        }
      }
    }
    At(aControl) = std::move(next);
    for (int i = 0; i < kRegistries; i++) {
      mKnown.erase({aControl, i});
      mKnown.erase({i, aControl});
    }
  }

  void PollSome(bool aMayFail) {
    const int polls = mRandom.Below(kControls * kRegistries);
    for (int i = 0; i < polls; i++) {
      const int from = mRandom.Below(kControls);
      const int to = mRandom.Below(kRegistries);
      if (!aMayFail || mRandom.Chance(0.6)) {
        Poll(from, to);
      }
    }
  }

  void PollAll() {
    for (int from = 0; from < kControls; from++) {
      for (int to = 0; to < kRegistries; to++) {
        Poll(from, to);
      }
    }
  }

  /// One registry gets what it lacks of a control's.
  void Poll(int aFrom, int aTo) {
    if (aFrom == aTo) {
      return;
    }
    const UpstreamRegistry& from = At(aFrom);
    UpstreamRegistry& to = At(aTo);
    const std::vector<SilentUpstream> silent = to.SilentUpstreams();
    std::int64_t& known = mKnown[{aFrom, aTo}];
    for (const UpstreamRecord& record : from.ChangedSince(known, mNow)) {
      to.Merge(record, mNow, std::to_string(aFrom));
    }
    const std::int64_t before = known;
    known = from.Revision();
    if (mDefect == Defect::kHeartbeatsUntold) {
      return;
    }
    if (aTo == kRouter) {
      for (const UpstreamRecord& record :
           from.SeenLaterThan(silent, kSilenceTimeout, mNow)) {
        to.Merge(record, mNow);
      }
      return;
    }
    for (const UpstreamHeartbeat& heartbeat :
         from.HeartbeatsSince(before, from.Revision(), mNow)) {
      to.MergeHeartbeat(heartbeat, mNow, std::to_string(aFrom));
    }
  }

  UpstreamRegistry& At(int aRegistry) { return mRegistries[Index(aRegistry)]; }

  bool IsReadyAt(int aRegistry, const std::string& aInstance) {
    const UpstreamRecord* record = At(aRegistry).Find(aInstance);
    return record != nullptr && record->mState == UpstreamState::kReady;
  }

  void CheckRunning() {
    for (int i = 0; i < kRegistries; i++) {
      for (const Process& process : mRunning) {
        if (!IsReadyAt(i, process.mInstance)) {
          Fail("the running incarnation is not in use after its heartbeat");
        }
      }
    }
  }

  void CheckEnded() {
    for (int i = 0; i < kRegistries; i++) {
      for (const Process& process : mEnded) {
        if (IsReadyAt(i, process.mInstance)) {
          Fail(mLeft.contains(process.mInstance)
                   ? "an incarnation that left is in use"
                   : "an incarnation that ended is in use");
        }
      }
    }
  }

  void Fail(const std::string& aWhy) {
    if (mFailure.empty()) {
      mFailure = aWhy;
    }
  }

  PlayRandom mRandom;
  Defect mDefect;
  Millis mNow = 100000;
  int mStarts = 0;
  int mLateFirsts = 0;
  std::array<Process, kAddresses> mRunning;
  std::vector<Process> mEnded;
  std::set<std::string> mLeft;
  std::vector<Message> mMessages;
  std::array<UpstreamRegistry, kRegistries> mRegistries;
  std::map<std::pair<int, int>, std::int64_t> mKnown;
  std::string mFailure;
};

}  // namespace

// Guards against a late heartbeat of an ended incarnation, its first one too,
// that shuts the running one at its address out.
Test(addresses_fuzz, the_running_incarnation_is_in_use_after_each_heartbeat) {
  int lateFirsts = 0;
  cr_assert(rc::check("addresses", [&lateFirsts] {
    for (int i = 0; i < kPlaysPerTest; i++) {
      const auto seed =
          *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<unsigned>());
      Simulation simulation(seed, Defect::kNone);
      const std::string failure = simulation.Play();
      lateFirsts += simulation.LateFirsts();
      if (!failure.empty()) {
        RC_FAIL(failure);
      }
    }
  }));
  // Without late first heartbeats the check would prove nothing.
  CHECK(lateFirsts > 1000);
}

Test(addresses_fuzz, injected_defects_are_detected) {
  for (const Defect defect : {Defect::kFirstEndsOthers, Defect::kSequencesLost,
                              Defect::kHeartbeatsUntold}) {
    bool detected = false;
    for (unsigned seed = 1; seed <= 300 && !detected; seed++) {
      detected = !Simulation(seed, defect).Play().empty();
    }
    CHECK_FOUND(detected, std::to_string(static_cast<int>(defect)));
  }
}
