/// Fuzzing of the steward's lease: over restarts, cuts, late messages and
/// clocks that drift, no two routers hold it at a time, and epochs grow.
#include <rapidcheck.h>

#include <map>
#include <memory>
#include <random>
#include <vector>

#include "spindleweir/servers/membership/steward_lease.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr int kRouters = 3;

/// A request or a reply on its way.
struct Letter {
  int mTo;
  int mFrom;
  bool mIsReply;
  LeaseRequest mRequest;
  LeaseReply mReply;
};

class World {
 public:
  explicit World(bool aNoAbstention) : mNoAbstention(aNoAbstention) {
    for (int i = 0; i < kRouters; i++) {
      mVoters.emplace_back();
      mHolders.emplace_back();
      Restart(i);
    }
  }

  /// A router's own clock: one is fast, one slow, by 4 in 100.
  Millis ClockOf(int aRouter) const { return mNow + (aRouter - 1) * mNow / 25; }

  void Restart(int aRouter) {
    const auto n = static_cast<std::size_t>(aRouter);
    LeaseOptions options;
    options.mId = "r" + std::to_string(aRouter);
    options.mVoters = kRouters;
    options.mFirstEpoch = mNow;
    options.mFirstRound = ++mStarts * 1000000;
    options.mRandom = [this] { return (mNow % 100) / 100.0; };
    const Millis now = ClockOf(aRouter);
    // The planted defect: a voter that votes at once after a restart.
    mVoters[n] = std::make_unique<LeaseVoter>(
        options, mNoAbstention ? now - options.mLength : now);
    mHolders[n] = std::make_unique<LeaseHolder>(
        options, now, [this, aRouter](const LeaseRequest& aRequest) {
          for (int to = 0; to < kRouters; to++) {
            mLetters.push_back({to, aRouter, false, aRequest, {}});
          }
        });
  }

  void Step(int aDice) {
    const auto which = static_cast<std::size_t>(aDice / 16);
    const int router = static_cast<int>(which % kRouters);
    switch (aDice % 16) {
      case 0:
        if (which % 8 == 0) {
          Restart(router);
        }
        break;
      case 1:
        mCut = mCut == router ? -1 : router;
        break;
      case 2:
        if (!mLetters.empty()) {
          mLetters.erase(mLetters.begin() +
                         static_cast<std::ptrdiff_t>(which % mLetters.size()));
        }
        break;
      case 7:
        if (which % 16 == 0) {
          mHolders[static_cast<std::size_t>(router)]->Release(ClockOf(router));
          Restart(router);
        }
        break;
      case 8:
        if (!mLetters.empty() && mLetters.size() < 100) {
          mLetters.push_back(mLetters[which % mLetters.size()]);
        }
        break;
      case 3:
        mNow += static_cast<Millis>(which % 1000);
        break;
      case 4:
      case 5:
      case 6:
        mNow += 50;
        TickAll();
        break;
      default:
        Deliver(which);
        break;
    }
    Judge();
  }

  void TickAll() {
    for (int i = 0; i < kRouters; i++) {
      mHolders[static_cast<std::size_t>(i)]->Tick(ClockOf(i));
    }
  }

  void Deliver(std::size_t aWhich) {
    if (mLetters.empty()) {
      return;
    }
    const auto it = mLetters.begin() +
                    static_cast<std::ptrdiff_t>(aWhich % mLetters.size());
    Letter letter = *it;
    mLetters.erase(it);
    if (letter.mTo != letter.mFrom &&
        (letter.mTo == mCut || letter.mFrom == mCut)) {
      return;
    }
    const auto to = static_cast<std::size_t>(letter.mTo);
    if (letter.mIsReply) {
      mHolders[to]->Handle(letter.mReply, ClockOf(letter.mTo));
      return;
    }
    letter.mReply = mVoters[to]->Handle(letter.mRequest, ClockOf(letter.mTo));
    letter.mIsReply = true;
    std::swap(letter.mTo, letter.mFrom);
    mLetters.push_back(letter);
  }

  void Judge() {
    int holders = 0;
    for (int i = 0; i < kRouters; i++) {
      const LeaseHolder& holder = *mHolders[static_cast<std::size_t>(i)];
      if (holder.Holds(ClockOf(i))) {
        holders++;
        mHeld = true;
        if (mLastHolder != i || mLastEpoch != holder.Epoch()) {
          mGood = mGood && holder.Epoch() > mLastEpoch;
          mLastHolder = i;
          mLastEpoch = holder.Epoch();
        }
      }
    }
    mGood = mGood && holders <= 1;
  }

  bool Good() const { return mGood; }
  bool Held() const { return mHeld; }

 private:
  bool mNoAbstention;
  std::vector<std::unique_ptr<LeaseVoter>> mVoters;
  std::vector<std::unique_ptr<LeaseHolder>> mHolders;
  std::vector<Letter> mLetters;
  Millis mNow = 100000;
  std::int64_t mStarts = 0;
  int mCut = -1;
  int mLastHolder = -1;
  std::int64_t mLastEpoch = 0;
  bool mGood = true;
  bool mHeld = false;
};

}  // namespace

Test(lease_fuzz, two_routers_never_hold_the_lease) {
  int held = 0;
  cr_assert(rc::check("lease", [&held] {
    World world(false);
    const auto dice = *rc::gen::container<std::vector<int>>(
        2000, rc::gen::inRange(0, 16 * 1024));
    for (int item : dice) {
      world.Step(item);
    }
    held += world.Held() ? 1 : 0;
    RC_ASSERT(world.Good());
  }));
  // The check would be empty if nobody ever held it.
  CHECK(held > 10);
}

Test(lease_fuzz, a_voter_that_forgets_is_caught) {
  std::mt19937 random(13);
  bool caught = false;
  for (int round = 0; round < 500 && !caught; round++) {
    World world(true);
    for (int i = 0; i < 2000; i++) {
      world.Step(std::uniform_int_distribution<int>(0, 16383)(random));
    }
    caught = !world.Good();
  }
  CHECK(caught);
}
