/// Fuzzing of the registry of upstreams against an oracle that knows which
/// lives there were: over lost, doubled, late and reordered word, restarts
/// under a name, clocks that step back, addresses that change hands and several
/// registries that tell each other, an older start never overrides a newer one,
/// nothing is held that its life did not say, and in the end all hold the last.
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
/// Two controls that upstreams call, and a router that is told by both.
constexpr int kControls = 2;
constexpr int kRegistries = kControls + 1;
constexpr Millis kSilence = 3600;
constexpr Millis kBeatEvery = 1200;
/// Longer than any registry remembers.
constexpr Millis kForgotten = 61000;
/// What may differ while an incarnation is about to be forgotten.
constexpr Millis kBorder = 10000;

/// What is planted into the way of word.
enum class Defect {
  kNone,
  kNoStarts,         ///< Starts are dropped: ordered by sequence alone.
  kStartsOnTheWay,   ///< Starts are dropped between processes.
  kLeaveEndsNewest,  ///< A late leave is taken for one of whoever is known.
  kHeardNow,         ///< What is told counts as heard now.
  kWordsMixed,       ///< Content comes with the start of another life.
};

/// One life of an instance.
struct Life {
  std::int64_t mStart = 0;
  std::string mService;
  std::string mAddress;
  std::int64_t mSequence = 0;
  UpstreamState mState = UpstreamState::kReady;
  LayerRange mLayers;
  bool mRuns = true;
};

/// A heartbeat or a leave on its way.
struct Letter {
  UpstreamRecord mRecord;
  bool mLeaves = false;
};

std::string NameOf(int aInstance) {
  return "i" + std::to_string(aInstance);
}

class World {
 public:
  World(Defect aDefect, bool aClocksStep)
      : mDefect(aDefect), mClocksStep(aClocksStep) {
    for (int i = 0; i < kInstances; i++) {
      Restart(i, 0);
    }
  }

  void Step(int aDice) {
    const auto which = static_cast<std::size_t>(aDice / 16);
    const int instance = static_cast<int>(which % kInstances);
    switch (aDice % 16) {
      case 0:
        if (which % 5 == 0) {
          Restart(instance, which / 5);
        }
        break;
      case 1:
        mNow += static_cast<Millis>(which % 4000);
        break;
      case 2:
        Lives(instance).back().mLayers = {static_cast<int>(which % 40),
                                          static_cast<int>(41 + which % 40)};
        break;
      case 3:
        if (which % 4 == 0) {
          Leave(instance);
        }
        break;
      case 4:
        if (!mLetters.empty()) {
          mLetters.erase(LetterAt(which));
        }
        break;
      case 5:
        if (!mLetters.empty() && mLetters.size() < 60) {
          mLetters.push_back(*LetterAt(which));
        }
        break;
      case 6:
      case 7:
      case 8:
        Beat(instance);
        break;
      case 9:
      case 10:
        Tell(static_cast<int>(which % kControls),
             static_cast<int>(which / kControls % kRegistries));
        break;
      case 11:
        for (int i = 0; i < kControls; i++) {
          At(i).Expire(kSilence, mNow);
        }
        At(kControls).RemoveEnded(mNow);
        break;
      default:
        Deliver(which);
        break;
    }
    Judge();
  }

  /// All word arrives or is lost, everyone tells everyone, and time passes
  /// until nothing of before is remembered: all hold the last lives.
  void Settle() {
    mLetters.clear();
    for (Millis begun = mNow; mNow - begun < kForgotten + kBorder;
         mNow += kBeatEvery) {
      for (int i = 0; i < kInstances; i++) {
        Beat(i);
      }
      while (!mLetters.empty()) {
        const Letter letter = mLetters.front();
        mLetters.erase(mLetters.begin());
        Hand(letter, static_cast<int>(mNow / kBeatEvery) % kControls);
      }
      for (int from = 0; from < kControls; from++) {
        for (int to = 0; to < kRegistries; to++) {
          Tell(from, to);
        }
      }
      for (int i = 0; i < kControls; i++) {
        At(i).Expire(kSilence, mNow);
      }
      At(kControls).RemoveEnded(mNow);
      Judge();
    }
    for (int i = 0; i < kRegistries; i++) {
      for (int instance = 0; instance < kInstances; instance++) {
        JudgeLast(At(i), instance);
      }
    }
  }

  bool Good() const { return mWhy.empty(); }
  const std::string& Why() const { return mWhy; }

 private:
  UpstreamRegistry& At(int aRegistry) {
    return mRegistries[static_cast<std::size_t>(aRegistry)];
  }
  std::vector<Life>& Lives(int aInstance) {
    return mLives[static_cast<std::size_t>(aInstance)];
  }
  std::vector<Letter>::iterator LetterAt(std::size_t aWhich) {
    return mLetters.begin() +
           static_cast<std::ptrdiff_t>(aWhich % mLetters.size());
  }

  /// Begins a life; whoever has its address has ended.
  void Restart(int aInstance, std::size_t aWhich) {
    std::vector<Life>& lives = Lives(aInstance);
    Life next;
    const bool back = mClocksStep && aWhich % 7 == 3;
    next.mStart = kEpoch + mNow + (back ? -20000 : 0);
    if (!lives.empty() && !back) {
      next.mStart = std::max(next.mStart, lives.back().mStart + 1);
    }
    for (const Life& life : lives) {
      // Two lives of one name and one millisecond cannot be told apart.
      next.mStart += life.mStart == next.mStart ? 1 : 0;
    }
    const bool moves = lives.empty() || aWhich % 3 == 0;
    next.mAddress =
        moves ? AddressOf(aWhich + static_cast<std::size_t>(aInstance))
              : lives.back().mAddress;
    next.mService = aWhich % 2 == 0 ? "model" : "counter";
    for (auto& others : mLives) {
      for (Life& life : others) {
        life.mRuns = life.mRuns && life.mAddress != next.mAddress;
      }
    }
    if (!lives.empty()) {
      lives.back().mRuns = false;
    }
    lives.push_back(next);
  }

  static std::string AddressOf(std::size_t aWhich) {
    return "10.0.0." + std::to_string(1 + aWhich % kAddresses) + ":80";
  }

  void Beat(int aInstance) {
    Life& life = Lives(aInstance).back();
    if (life.mRuns) {
      life.mSequence++;
      mLetters.push_back({WordOf(aInstance, life)});
      mSaid[{aInstance, life.mStart, life.mSequence}] = life;
    }
  }

  void Leave(int aInstance) {
    Life& life = Lives(aInstance).back();
    if (!life.mRuns) {
      return;
    }
    const bool says = life.mState == UpstreamState::kReady;
    life.mState = says ? UpstreamState::kLeaving : UpstreamState::kGone;
    if (says) {
      Beat(aInstance);
      return;
    }
    life.mRuns = false;
    mLetters.push_back({WordOf(aInstance, life), true});
  }

  UpstreamRecord WordOf(int aInstance, const Life& aLife) const {
    UpstreamRecord record;
    record.mInstance = NameOf(aInstance);
    record.mStart = aLife.mStart;
    record.mService = aLife.mService;
    record.mAddress = aLife.mAddress;
    record.mZone = "z";
    record.mState = aLife.mState;
    record.mSequence = aLife.mSequence;
    record.mLayers = aLife.mLayers;
    return record;
  }

  void Deliver(std::size_t aWhich) {
    if (mLetters.empty()) {
      return;
    }
    const auto it = LetterAt(aWhich);
    const Letter letter = *it;
    mLetters.erase(it);
    Hand(letter, static_cast<int>(aWhich % kControls));
  }

  /// A control is called.
  void Hand(Letter aLetter, int aControl) {
    UpstreamRegistry& registry = At(aControl);
    UpstreamRecord& record = aLetter.mRecord;
    mHanded[{record.mInstance, record.mStart}] = mNow;
    // Half of the leaves tell no start.
    const bool unnamed = aLetter.mLeaves && record.mSequence % 2 == 0 &&
                         mDefect == Defect::kNone;
    if (unnamed && registry.Find(record.mInstance) != nullptr) {
      LeaveUnnamed(aControl, record);
      return;
    }
    Given(aControl, record.mInstance, record.mStart, mNow,
          aLetter.mLeaves || IsLeavingOrGone(record.mState));
    if (mDefect == Defect::kNoStarts) {
      record.mStart = 0;
    }
    if (mDefect == Defect::kWordsMixed && !Lives(0).empty() &&
        record.mInstance == NameOf(0)) {
      record.mStart = Lives(0).back().mStart;
    }
    if (!aLetter.mLeaves) {
      registry.ApplyHeartbeat(record, mNow);
      return;
    }
    const UpstreamRecord* known = registry.Find(record.mInstance);
    const bool newest = mDefect == Defect::kLeaveEndsNewest && known != nullptr;
    registry.ApplyLeave(record.mInstance, mNow,
                        newest ? known->mStart : record.mStart);
  }

  /// A leave without a start: whoever is known ends, but nobody that this
  /// control first heard of just now, beside another of its name.
  void LeaveUnnamed(int aControl, const UpstreamRecord& aRecord) {
    UpstreamRegistry& registry = At(aControl);
    // It counts as word of whoever is known.
    mHanded[{aRecord.mInstance, registry.Find(aRecord.mInstance)->mStart}] =
        mNow;
    if (registry.ApplyLeave(aRecord.mInstance, mNow) != LeaveOutcome::kEnded) {
      return;
    }
    const std::int64_t ended = registry.Find(aRecord.mInstance)->mStart;
    auto& lives = mTold[{aControl, aRecord.mInstance}];
    lives[ended].mEnds = true;
    if (ended == aRecord.mStart) {
      return;
    }
    mMistaken.insert({aRecord.mInstance, ended});
    const Told& one = lives[ended];
    const bool follows =
        std::any_of(lives.begin(), lives.end(), [&](const auto& aOther) {
          return aOther.first < ended &&
                 aOther.second.mFirstAt < one.mFirstAt &&
                 mNow - aOther.second.mHeardAt < kForgotten - kBorder;
        });
    if (follows && mNow - one.mFirstAt < kLeaveDoubtWindow) {
      Fail("a late leave ended one that had just begun");
    }
  }

  /// A control tells another registry what it lacks, by the columns that our
  /// processes send.
  void Tell(int aFrom, int aTo) {
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
      Given(aTo, record.mInstance, record.mStart, mNow - record.mLastSeenAgo,
            IsLeavingOrGone(record.mState));
      Spoil(record.mStart, record.mLastSeenAgo);
      At(aTo).Merge(record, mNow, by);
    }
    if (aTo < kControls) {
      for (UpstreamHeartbeat beat :
           from.HeartbeatsSince(known, from.Revision(), mNow)) {
        Spoil(beat.mStart, beat.mLastSeenAgo);
        At(aTo).MergeHeartbeat(beat, mNow, by);
      }
    }
    known = from.Revision();
  }

  void Spoil(std::int64_t& aStart, Millis& aHeardAgo) const {
    if (mDefect == Defect::kStartsOnTheWay) {
      aStart = 0;
    }
    if (mDefect == Defect::kHeardNow) {
      aHeardAgo = 0;
    }
  }

  /// The oracle: which lives a registry was told of, when each was heard last,
  /// and which of them it was told the end of.
  struct Told {
    Millis mFirstAt = -1;
    Millis mHeardAt = 0;
    bool mEnds = false;
  };

  void Given(int aRegistry, const std::string& aInstance, std::int64_t aStart,
             Millis aHeardAt, bool aEnds) {
    Told& told = mTold[{aRegistry, aInstance}][aStart];
    told.mFirstAt = told.mFirstAt < 0 ? aHeardAt : told.mFirstAt;
    told.mHeardAt = std::max(told.mHeardAt, aHeardAt);
    told.mEnds = told.mEnds || aEnds;
  }

  void Judge() {
    for (int i = 0; i < kRegistries; i++) {
      JudgeTimes(i);
      for (int instance = 0; instance < kInstances; instance++) {
        JudgeHeld(i, instance);
      }
    }
  }

  /// Nobody is known as heard later than a control was called.
  void JudgeTimes(int aRegistry) {
    for (const UpstreamRecord& record : At(aRegistry).ChangedSince(0, mNow)) {
      const auto it = mHanded.find({record.mInstance, record.mStart});
      if (it != mHanded.end() && mNow - record.mLastSeenAgo > it->second) {
        Fail("one counts as heard later than it was");
      }
    }
  }

  void JudgeHeld(int aRegistry, int aInstance) {
    const UpstreamRecord* held = At(aRegistry).Find(NameOf(aInstance));
    const auto& told = mTold[{aRegistry, NameOf(aInstance)}];
    for (const auto& [start, one] : told) {
      const bool lately = mNow - one.mHeardAt < kForgotten - kBorder;
      if (lately && (held == nullptr || held->mStart < start)) {
        Fail("an older start is held than was told");
      }
    }
    if (held == nullptr) {
      return;
    }
    const auto it = told.find(held->mStart);
    if (it == told.end()) {
      Fail("a start is held that nobody told");
      return;
    }
    if (it->second.mEnds && !IsLeavingOrGone(held->mState)) {
      Fail("one whose end was told is used");
    }
    JudgeContent(aInstance, *held);
  }

  /// What is held was said by that life, at or before the sequence known.
  void JudgeContent(int aInstance, const UpstreamRecord& aHeld) {
    if (aHeld.mAddress.empty()) {
      return;  // Known by its leave alone.
    }
    bool said = false;
    for (auto it = mSaid.lower_bound({aInstance, aHeld.mStart, 0});
         it != mSaid.end() && std::get<1>(it->first) == aHeld.mStart &&
         std::get<0>(it->first) == aInstance &&
         std::get<2>(it->first) <= aHeld.mSequence;
         ++it) {
      const Life& life = it->second;
      said = said ||
             (life.mAddress == aHeld.mAddress &&
              life.mService == aHeld.mService && life.mLayers == aHeld.mLayers);
    }
    if (!said) {
      Fail("what is held was never said by that life");
    }
  }

  void JudgeLast(const UpstreamRegistry& aRegistry, int aInstance) {
    const Life& last = Lives(aInstance).back();
    if (mMistaken.contains({NameOf(aInstance), last.mStart})) {
      return;  // No registry could know that another was meant.
    }
    const UpstreamRecord* held = aRegistry.Find(NameOf(aInstance));
    if (!last.mRuns) {
      if (held != nullptr && held->mState == UpstreamState::kReady) {
        Fail("one that ended is held for ready");
      }
      return;
    }
    if (held == nullptr && last.mState == UpstreamState::kLeaving) {
      return;  // A router hears of changes only, and forgets it in time.
    }
    if (held == nullptr || held->mStart != last.mStart) {
      Fail("the last life is not held");
    } else if (held->mState != last.mState || held->mLayers != last.mLayers) {
      Fail("the last life is held otherwise than it is");
    }
  }

  void Fail(const std::string& aWhy) {
    if (mWhy.empty()) {
      mWhy = aWhy;
    }
  }

  static constexpr std::int64_t kEpoch = 1790000000000;

  Defect mDefect;
  bool mClocksStep;
  Millis mNow = 100000;
  std::array<std::vector<Life>, kInstances> mLives;
  std::array<UpstreamRegistry, kRegistries> mRegistries;
  std::vector<Letter> mLetters;
  std::set<std::pair<std::string, std::int64_t>> mMistaken;
  std::map<std::pair<int, int>, std::int64_t> mKnown;
  std::map<std::tuple<int, std::int64_t, std::int64_t>, Life> mSaid;
  std::map<std::pair<int, std::string>, std::map<std::int64_t, Told>> mTold;
  std::map<std::pair<std::string, std::int64_t>, Millis> mHanded;
  std::string mWhy;
};

/// Plays rounds until one fails.
bool Caught(Defect aDefect) {
  std::mt19937 random(13);
  for (int round = 0; round < 300; round++) {
    World world(aDefect, false);
    for (int i = 0; i < 400 && world.Good(); i++) {
      world.Step(std::uniform_int_distribution<int>(0, 16 * 1024 - 1)(random));
    }
    if (world.Good()) {
      world.Settle();
    }
    if (!world.Good()) {
      return true;
    }
  }
  return false;
}

void Play(bool aClocksStep) {
  cr_assert(rc::check("registry", [aClocksStep] {
    World world(Defect::kNone, aClocksStep);
    const auto dice = *rc::gen::container<std::vector<int>>(
        400, rc::gen::inRange(0, 16 * 1024));
    for (int item : dice) {
      world.Step(item);
      if (!world.Good()) {
        RC_FAIL(world.Why());
      }
    }
    world.Settle();
    if (!world.Good()) {
      RC_FAIL(world.Why());
    }
  }));
}

}  // namespace

Test(registry_fuzz, an_older_start_never_overrides_a_newer_one) {
  Play(false);
}

Test(registry_fuzz, clocks_that_step_back_shut_nobody_out_for_ever) {
  Play(true);
}

Test(registry_fuzz, planted_defects_are_caught) {
  CHECK(Caught(Defect::kNoStarts));
  CHECK(Caught(Defect::kStartsOnTheWay));
  CHECK(Caught(Defect::kLeaveEndsNewest));
  CHECK(Caught(Defect::kHeardNow));
  CHECK(Caught(Defect::kWordsMixed));
}
