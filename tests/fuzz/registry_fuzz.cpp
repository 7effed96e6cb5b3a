/// Fuzzing of the registry of upstreams against a model that knows all
/// incarnations. Messages are lost, duplicated, late and reordered, upstreams
/// restart under the same name, clocks step back, addresses are reused, and
/// several registries report to each other. An older start must never override
/// a newer one, a record must have been sent by its incarnation, and in the end
/// all registries must hold the last incarnations.
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <vector>

#include "spindleweir/servers/membership/upstream_registry.h"
#include "spindleweir/servers/membership/upstream_table.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr int kInstances = 3;
constexpr int kAddresses = 3;
/// Two controls that upstreams call, and a router that both report to.
constexpr int kControls = 2;
constexpr int kRegistries = kControls + 1;
constexpr Millis kSilenceTimeout = 3600;
constexpr Millis kHeartbeatInterval = 1200;
/// Longer than any registry stores an incarnation.
constexpr Millis kRetention = 61000;
/// How long before that an incarnation may be dropped already.
constexpr Millis kRetentionMargin = 10000;

/// A defect injected into the messages.
enum class Defect {
  kNone,
  kNoStarts,  ///< Upstreams send no starts: the sequence alone orders.
  kStartsLostInReports,  ///< Starts are lost between processes.
  kLeaveEndsNewest,      ///< A late leave ends the known incarnation.
  kAgesLost,             ///< Reports lose the age of their heartbeats.
  kStartsMixed,          ///< Content has the start of another incarnation.
};

/// One incarnation of an instance.
struct Incarnation {
  std::int64_t mStart = 0;
  std::string mService;
  std::string mAddress;
  std::int64_t mSequence = 0;
  UpstreamState mState = UpstreamState::kReady;
  LayerRange mLayers;
  bool mRuns = true;
};

/// A heartbeat or a leave in transit.
struct Message {
  UpstreamRecord mRecord;
  bool mLeaves = false;
};

std::string NameOf(int aInstance) {
  return "i" + std::to_string(aInstance);
}

/// Upstreams, registries and the messages between them.
class Simulation {
 public:
  Simulation(Defect aDefect, bool aClocksStep)
      : mDefect(aDefect), mClocksStep(aClocksStep) {
    for (int i = 0; i < kInstances; i++) {
      Restart(i, 0);
    }
  }

  void Step(int aChoice) {
    const auto number = static_cast<std::size_t>(aChoice / 16);
    const int instance = static_cast<int>(number % kInstances);
    switch (aChoice % 16) {
      case 0:
        if (number % 5 == 0) {
          Restart(instance, number / 5);
        }
        break;
      case 1:
        mNow += static_cast<Millis>(number % 4000);
        break;
      case 2:
        Incarnations(instance).back().mLayers = {
            static_cast<int>(number % 40), static_cast<int>(41 + number % 40)};
        break;
      case 3:
        if (number % 4 == 0) {
          SendLeave(instance);
        }
        break;
      case 4:
        if (!mMessages.empty()) {
          mMessages.erase(MessageAt(number));
        }
        break;
      case 5:
        if (!mMessages.empty() && mMessages.size() < 60) {
          mMessages.push_back(*MessageAt(number));
        }
        break;
      case 6:
      case 7:
      case 8:
        SendHeartbeat(instance);
        break;
      case 9:
      case 10:
        Report(static_cast<int>(number % kControls),
               static_cast<int>(number / kControls % kRegistries));
        break;
      case 11:
        for (int i = 0; i < kControls; i++) {
          At(i).Expire(kSilenceTimeout, mNow);
        }
        At(kControls).RemoveEnded(mNow);
        break;
      default:
        Deliver(number);
        break;
    }
    CheckInvariants();
  }

  /// Delivers all messages, lets all registries report to each other and passes
  /// the time until no earlier state is stored. Then all registries must hold
  /// the last incarnations.
  void Settle() {
    mMessages.clear();
    for (Millis startedAt = mNow;
         mNow - startedAt < kRetention + kRetentionMargin;
         mNow += kHeartbeatInterval) {
      for (int i = 0; i < kInstances; i++) {
        SendHeartbeat(i);
      }
      while (!mMessages.empty()) {
        const Message message = mMessages.front();
        mMessages.erase(mMessages.begin());
        DeliverTo(message,
                  static_cast<int>(mNow / kHeartbeatInterval) % kControls);
      }
      for (int from = 0; from < kControls; from++) {
        for (int to = 0; to < kRegistries; to++) {
          Report(from, to);
        }
      }
      for (int i = 0; i < kControls; i++) {
        At(i).Expire(kSilenceTimeout, mNow);
      }
      At(kControls).RemoveEnded(mNow);
      CheckInvariants();
    }
    for (int i = 0; i < kRegistries; i++) {
      for (int instance = 0; instance < kInstances; instance++) {
        CheckLast(At(i), instance);
      }
    }
  }

  bool IsValid() const { return mFailure.empty(); }
  const std::string& Failure() const { return mFailure; }

 private:
  UpstreamRegistry& At(int aRegistry) {
    return mRegistries[static_cast<std::size_t>(aRegistry)];
  }
  std::vector<Incarnation>& Incarnations(int aInstance) {
    return mIncarnations[static_cast<std::size_t>(aInstance)];
  }
  std::vector<Message>::iterator MessageAt(std::size_t aNumber) {
    return mMessages.begin() +
           static_cast<std::ptrdiff_t>(aNumber % mMessages.size());
  }

  /// Starts an incarnation and ends the one that has its address.
  void Restart(int aInstance, std::size_t aNumber) {
    std::vector<Incarnation>& incarnations = Incarnations(aInstance);
    Incarnation next;
    const bool back = mClocksStep && aNumber % 7 == 3;
    next.mStart = kEpoch + mNow + (back ? -20000 : 0);
    if (!incarnations.empty() && !back) {
      next.mStart = std::max(next.mStart, incarnations.back().mStart + 1);
    }
    for (const Incarnation& incarnation : incarnations) {
      // Two incarnations of one name must not start in the same millisecond:
      // they could not be distinguished.
      next.mStart += incarnation.mStart == next.mStart ? 1 : 0;
    }
    const bool moves = incarnations.empty() || aNumber % 3 == 0;
    next.mAddress =
        moves ? AddressOf(aNumber + static_cast<std::size_t>(aInstance))
              : incarnations.back().mAddress;
    next.mService = aNumber % 2 == 0 ? "model" : "counter";
    for (auto& instance : mIncarnations) {
      for (Incarnation& incarnation : instance) {
        incarnation.mRuns =
            incarnation.mRuns && incarnation.mAddress != next.mAddress;
      }
    }
    if (!incarnations.empty()) {
      incarnations.back().mRuns = false;
    }
    incarnations.push_back(next);
  }

  static std::string AddressOf(std::size_t aNumber) {
    return "10.0.0." + std::to_string(1 + aNumber % kAddresses) + ":80";
  }

  void SendHeartbeat(int aInstance) {
    Incarnation& incarnation = Incarnations(aInstance).back();
    if (incarnation.mRuns) {
      incarnation.mSequence++;
      mMessages.push_back({RecordOf(aInstance, incarnation)});
      mSent[{aInstance, incarnation.mStart, incarnation.mSequence}] =
          incarnation;
    }
  }

  void SendLeave(int aInstance) {
    Incarnation& incarnation = Incarnations(aInstance).back();
    if (!incarnation.mRuns) {
      return;
    }
    const bool startsLeaving = incarnation.mState == UpstreamState::kReady;
    incarnation.mState =
        startsLeaving ? UpstreamState::kLeaving : UpstreamState::kGone;
    if (startsLeaving) {
      SendHeartbeat(aInstance);
      return;
    }
    incarnation.mRuns = false;
    mMessages.push_back({RecordOf(aInstance, incarnation), true});
  }

  UpstreamRecord RecordOf(int aInstance,
                          const Incarnation& aIncarnation) const {
    UpstreamRecord record;
    record.mInstance = NameOf(aInstance);
    record.mStart = aIncarnation.mStart;
    record.mService = aIncarnation.mService;
    record.mAddress = aIncarnation.mAddress;
    record.mZone = "z";
    record.mState = aIncarnation.mState;
    record.mSequence = aIncarnation.mSequence;
    record.mLayers = aIncarnation.mLayers;
    return record;
  }

  void Deliver(std::size_t aNumber) {
    if (mMessages.empty()) {
      return;
    }
    const auto it = MessageAt(aNumber);
    const Message message = *it;
    mMessages.erase(it);
    DeliverTo(message, static_cast<int>(aNumber % kControls));
  }

  /// Delivers a message to a control.
  void DeliverTo(Message aMessage, int aControl) {
    UpstreamRegistry& registry = At(aControl);
    UpstreamRecord& record = aMessage.mRecord;
    mCalledAt[{record.mInstance, record.mStart}] = mNow;
    // Half of the leaves have no start.
    const bool withoutStart = aMessage.mLeaves && record.mSequence % 2 == 0 &&
                              mDefect == Defect::kNone;
    if (withoutStart && registry.Find(record.mInstance) != nullptr) {
      DeliverLeaveWithoutStart(aControl, record);
      return;
    }
    OnReceived(aControl, record.mInstance, record.mStart, mNow,
               aMessage.mLeaves || IsLeavingOrGone(record.mState));
    if (mDefect == Defect::kNoStarts) {
      record.mStart = 0;
    }
    if (mDefect == Defect::kStartsMixed && !Incarnations(0).empty() &&
        record.mInstance == NameOf(0)) {
      record.mStart = Incarnations(0).back().mStart;
    }
    if (!aMessage.mLeaves) {
      registry.ApplyHeartbeat(record, mNow);
      return;
    }
    const UpstreamRecord* known = registry.Find(record.mInstance);
    const bool newest = mDefect == Defect::kLeaveEndsNewest && known != nullptr;
    registry.ApplyLeave(record.mInstance, mNow,
                        newest ? known->mStart : record.mStart);
  }

  /// A leave without a start ends the known incarnation, unless this control
  /// has just seen it for the first time and knew another of its name before.
  void DeliverLeaveWithoutStart(int aControl, const UpstreamRecord& aRecord) {
    UpstreamRegistry& registry = At(aControl);
    // It counts as a message of the known incarnation.
    mCalledAt[{aRecord.mInstance, registry.Find(aRecord.mInstance)->mStart}] =
        mNow;
    if (registry.ApplyLeave(aRecord.mInstance, mNow) != LeaveOutcome::kEnded) {
      return;
    }
    const std::int64_t ended = registry.Find(aRecord.mInstance)->mStart;
    auto& incarnations = mReceived[{aControl, aRecord.mInstance}];
    incarnations[ended].mEnds = true;
    if (ended == aRecord.mStart) {
      return;
    }
    mEndedByMistake.insert({aRecord.mInstance, ended});
    const Received& one = incarnations[ended];
    const bool follows = std::any_of(
        incarnations.begin(), incarnations.end(), [&](const auto& aOther) {
          return aOther.first < ended &&
                 aOther.second.mFirstSeenAt < one.mFirstSeenAt &&
                 mNow - aOther.second.mLastSeenAt <
                     kRetention - kRetentionMargin;
        });
    if (follows && mNow - one.mFirstSeenAt < kLeaveDoubtWindow) {
      Fail("a late leave ended an incarnation that had just started");
    }
  }

  /// A control reports to another registry what that lacks, in the packed
  /// format that processes send.
  void Report(int aFrom, int aTo) {
    if (aFrom == aTo) {
      return;
    }
    UpstreamRegistry& from = At(aFrom);
    std::int64_t& known = mKnown[{aFrom, aTo}];
    const std::string by = std::to_string(aFrom);
    for (UpstreamRecord record : UnpackUpstreams(
             PackUpstreams(from.ChangedSince(known, mNow)),
             [this](const std::string&, const Error& aWhy) {
               Fail(std::string("a row was left out: ") + aWhy.what());
             })) {
      OnReceived(aTo, record.mInstance, record.mStart,
                 mNow - record.mLastSeenAgo, IsLeavingOrGone(record.mState));
      ApplyDefect(record.mStart, record.mLastSeenAgo);
      At(aTo).Merge(record, mNow, by);
    }
    if (aTo < kControls) {
      for (UpstreamHeartbeat heartbeat :
           from.HeartbeatsSince(known, from.Revision(), mNow)) {
        ApplyDefect(heartbeat.mStart, heartbeat.mLastSeenAgo);
        At(aTo).MergeHeartbeat(heartbeat, mNow, by);
      }
    }
    known = from.Revision();
  }

  void ApplyDefect(std::int64_t& aStart, Millis& aLastSeenAgo) const {
    if (mDefect == Defect::kStartsLostInReports) {
      aStart = 0;
    }
    if (mDefect == Defect::kAgesLost) {
      aLastSeenAgo = 0;
    }
  }

  /// The model's view of an incarnation that a registry received reports of.
  struct Received {
    Millis mFirstSeenAt = -1;
    Millis mLastSeenAt = 0;
    bool mEnds = false;
  };

  void OnReceived(int aRegistry, const std::string& aInstance,
                  std::int64_t aStart, Millis aSeenAt, bool aEnds) {
    Received& received = mReceived[{aRegistry, aInstance}][aStart];
    received.mFirstSeenAt =
        received.mFirstSeenAt < 0 ? aSeenAt : received.mFirstSeenAt;
    received.mLastSeenAt = std::max(received.mLastSeenAt, aSeenAt);
    received.mEnds = received.mEnds || aEnds;
  }

  void CheckInvariants() {
    for (int i = 0; i < kRegistries; i++) {
      CheckTimes(i);
      for (int instance = 0; instance < kInstances; instance++) {
        CheckHeld(i, instance);
      }
    }
  }

  /// No upstream may be last seen later than it called a control.
  void CheckTimes(int aRegistry) {
    for (const UpstreamRecord& record : At(aRegistry).ChangedSince(0, mNow)) {
      const auto it = mCalledAt.find({record.mInstance, record.mStart});
      if (it != mCalledAt.end() && mNow - record.mLastSeenAgo > it->second) {
        Fail("an upstream is last seen later than its last call");
      }
    }
  }

  void CheckHeld(int aRegistry, int aInstance) {
    const UpstreamRecord* held = At(aRegistry).Find(NameOf(aInstance));
    const auto& received = mReceived[{aRegistry, NameOf(aInstance)}];
    for (const auto& [start, one] : received) {
      const bool isRecent =
          mNow - one.mLastSeenAt < kRetention - kRetentionMargin;
      if (isRecent && (held == nullptr || held->mStart < start)) {
        Fail("an older start is held than was received");
      }
    }
    if (held == nullptr) {
      return;
    }
    const auto it = received.find(held->mStart);
    if (it == received.end()) {
      Fail("a start is held that was never received");
      return;
    }
    if (it->second.mEnds && !IsLeavingOrGone(held->mState)) {
      Fail("an incarnation is usable after its leave was received");
    }
    CheckContent(aInstance, *held);
  }

  /// The content held must have been sent by that incarnation, at or before the
  /// sequence held.
  void CheckContent(int aInstance, const UpstreamRecord& aHeld) {
    if (aHeld.mAddress.empty()) {
      return;  // Only its leave is known.
    }
    bool wasSent = false;
    for (auto it = mSent.lower_bound({aInstance, aHeld.mStart, 0});
         it != mSent.end() && std::get<1>(it->first) == aHeld.mStart &&
         std::get<0>(it->first) == aInstance &&
         std::get<2>(it->first) <= aHeld.mSequence;
         ++it) {
      const Incarnation& incarnation = it->second;
      wasSent = wasSent || (incarnation.mAddress == aHeld.mAddress &&
                            incarnation.mService == aHeld.mService &&
                            incarnation.mLayers == aHeld.mLayers);
    }
    if (!wasSent) {
      Fail("the content held was never sent by that incarnation");
    }
  }

  void CheckLast(const UpstreamRegistry& aRegistry, int aInstance) {
    const Incarnation& last = Incarnations(aInstance).back();
    if (mEndedByMistake.contains({NameOf(aInstance), last.mStart})) {
      return;  // A leave of another incarnation ended it.
    }
    const UpstreamRecord* held = aRegistry.Find(NameOf(aInstance));
    if (!last.mRuns) {
      if (held != nullptr && held->mState == UpstreamState::kReady) {
        Fail("an incarnation that ended is ready");
      }
      return;
    }
    if (held == nullptr && last.mState == UpstreamState::kLeaving) {
      return;  // A router receives changes only, and removes it in time.
    }
    if (held == nullptr || held->mStart != last.mStart) {
      Fail("the last incarnation is not held");
    } else if (held->mState != last.mState || held->mLayers != last.mLayers) {
      Fail("the last incarnation is held with a wrong state or layers");
    }
  }

  void Fail(const std::string& aWhy) {
    if (mFailure.empty()) {
      mFailure = aWhy;
    }
  }

  static constexpr std::int64_t kEpoch = 1790000000000;

  Defect mDefect;
  bool mClocksStep;
  Millis mNow = 100000;
  std::array<std::vector<Incarnation>, kInstances> mIncarnations;
  std::array<UpstreamRegistry, kRegistries> mRegistries;
  std::vector<Message> mMessages;
  std::set<std::pair<std::string, std::int64_t>> mEndedByMistake;
  std::map<std::pair<int, int>, std::int64_t> mKnown;
  std::map<std::tuple<int, std::int64_t, std::int64_t>, Incarnation> mSent;
  std::map<std::pair<int, std::string>, std::map<std::int64_t, Received>>
      mReceived;
  std::map<std::pair<std::string, std::int64_t>, Millis> mCalledAt;
  std::string mFailure;
};

/// Runs simulations until one fails. Returns whether one did.
bool IsDetected(Defect aDefect) {
  std::mt19937 random(13);
  for (int round = 0; round < 300; round++) {
    Simulation simulation(aDefect, false);
    for (int i = 0; i < 400 && simulation.IsValid(); i++) {
      simulation.Step(
          std::uniform_int_distribution<int>(0, 16 * 1024 - 1)(random));
    }
    if (simulation.IsValid()) {
      simulation.Settle();
    }
    if (!simulation.IsValid()) {
      return true;
    }
  }
  return false;
}

/// Checks simulations without a defect.
void CheckSimulations(bool aClocksStep) {
  cr_assert(rc::check("registry", [aClocksStep] {
    Simulation simulation(Defect::kNone, aClocksStep);
    const auto choices = *rc::gen::container<std::vector<int>>(
        400, rc::gen::inRange(0, 16 * 1024));
    for (int choice : choices) {
      simulation.Step(choice);
      if (!simulation.IsValid()) {
        RC_FAIL(simulation.Failure());
      }
    }
    simulation.Settle();
    if (!simulation.IsValid()) {
      RC_FAIL(simulation.Failure());
    }
  }));
}

}  // namespace

Test(registry_fuzz, an_older_start_never_overrides_a_newer_one) {
  CheckSimulations(false);
}

Test(registry_fuzz, the_last_incarnation_is_held_after_clocks_step_back) {
  CheckSimulations(true);
}

Test(registry_fuzz, injected_defects_are_detected) {
  CHECK(IsDetected(Defect::kNoStarts));
  CHECK(IsDetected(Defect::kStartsLostInReports));
  CHECK(IsDetected(Defect::kLeaveEndsNewest));
  CHECK(IsDetected(Defect::kAgesLost));
  CHECK(IsDetected(Defect::kStartsMixed));
}
