/// Fuzzing of the steward's lease: with restarts, cuts, late messages and clock
/// drift, at most one router holds the lease at a time, and epochs grow.
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

/// A request or a reply in transit.
struct Message {
  int mTo;
  int mFrom;
  bool mIsReply;
  LeaseRequest mRequest;
  LeaseReply mReply;
};

/// Three routers, their clocks and the network between them.
class Simulation {
 public:
  explicit Simulation(bool aNoAbstention) : mNoAbstention(aNoAbstention) {
    for (int i = 0; i < kRouters; i++) {
      mVoters.emplace_back();
      mHolders.emplace_back();
      Restart(i);
    }
  }

  /// A router's own clock: one is fast and one slow, by 4%.
  Millis ClockOf(int aRouter) const { return mNow + (aRouter - 1) * mNow / 25; }

  void Restart(int aRouter) {
    const auto n = static_cast<std::size_t>(aRouter);
    LeaseOptions options;
    options.mId = "r" + std::to_string(aRouter);
    options.mVoters = kRouters;
    options.mFirstEpoch = mNow;
    options.mFirstRound = ++mRestarts * 1000000;
    options.mRandom = [this] { return (mNow % 100) / 100.0; };
    const Millis now = ClockOf(aRouter);
    // Injected defect: a voter that votes at once after a restart.
    mVoters[n] = std::make_unique<LeaseVoter>(
        options, mNoAbstention ? now - options.mDuration : now);
    mHolders[n] = std::make_unique<LeaseHolder>(
        options, now, [this, aRouter](const LeaseRequest& aRequest) {
          for (int to = 0; to < kRouters; to++) {
            mMessages.push_back({to, aRouter, false, aRequest, {}});
          }
        });
  }

  void Step(int aChoice) {
    const auto number = static_cast<std::size_t>(aChoice / 16);
    const int router = static_cast<int>(number % kRouters);
    switch (aChoice % 16) {
      case 0:
        if (number % 8 == 0) {
          Restart(router);
        }
        break;
      case 1:
        mCut = mCut == router ? -1 : router;
        break;
      case 2:
        if (!mMessages.empty()) {
          mMessages.erase(mMessages.begin() + static_cast<std::ptrdiff_t>(
                                                  number % mMessages.size()));
        }
        break;
      case 7:
        if (number % 16 == 0) {
          mHolders[static_cast<std::size_t>(router)]->Release(ClockOf(router));
          Restart(router);
        }
        break;
      case 8:
        if (!mMessages.empty() && mMessages.size() < 100) {
          mMessages.push_back(mMessages[number % mMessages.size()]);
        }
        break;
      case 3:
        mNow += static_cast<Millis>(number % 1000);
        break;
      case 4:
      case 5:
      case 6:
        mNow += 50;
        TickAll();
        break;
      default:
        Deliver(number);
        break;
    }
    CheckInvariants();
  }

  void TickAll() {
    for (int i = 0; i < kRouters; i++) {
      mHolders[static_cast<std::size_t>(i)]->Tick(ClockOf(i));
    }
  }

  void Deliver(std::size_t aNumber) {
    if (mMessages.empty()) {
      return;
    }
    const auto it = mMessages.begin() +
                    static_cast<std::ptrdiff_t>(aNumber % mMessages.size());
    Message message = *it;
    mMessages.erase(it);
    if (message.mTo != message.mFrom &&
        (message.mTo == mCut || message.mFrom == mCut)) {
      return;
    }
    const auto to = static_cast<std::size_t>(message.mTo);
    if (message.mIsReply) {
      mHolders[to]->Handle(message.mReply, ClockOf(message.mTo));
      return;
    }
    message.mReply =
        mVoters[to]->Handle(message.mRequest, ClockOf(message.mTo));
    message.mIsReply = true;
    std::swap(message.mTo, message.mFrom);
    mMessages.push_back(message);
  }

  void CheckInvariants() {
    int holders = 0;
    for (int i = 0; i < kRouters; i++) {
      const LeaseHolder& holder = *mHolders[static_cast<std::size_t>(i)];
      if (holder.Holds(ClockOf(i))) {
        holders++;
        mWasHeld = true;
        if (mLastHolder != i || mLastEpoch != holder.Epoch()) {
          mValid = mValid && holder.Epoch() > mLastEpoch;
          mLastHolder = i;
          mLastEpoch = holder.Epoch();
        }
      }
    }
    mValid = mValid && holders <= 1;
  }

  bool IsValid() const { return mValid; }
  bool WasHeld() const { return mWasHeld; }

 private:
  bool mNoAbstention;
  std::vector<std::unique_ptr<LeaseVoter>> mVoters;
  std::vector<std::unique_ptr<LeaseHolder>> mHolders;
  std::vector<Message> mMessages;
  Millis mNow = 100000;
  std::int64_t mRestarts = 0;
  int mCut = -1;
  int mLastHolder = -1;
  std::int64_t mLastEpoch = 0;
  bool mValid = true;
  bool mWasHeld = false;
};

}  // namespace

Test(lease_fuzz, at_most_one_router_holds_the_lease) {
  int held = 0;
  cr_assert(rc::check("lease", [&held] {
    Simulation simulation(false);
    const auto choices = *rc::gen::container<std::vector<int>>(
        2000, rc::gen::inRange(0, 16 * 1024));
    for (int choice : choices) {
      simulation.Step(choice);
    }
    held += simulation.WasHeld() ? 1 : 0;
    RC_ASSERT(simulation.IsValid());
  }));
  // Without a holder the check would prove nothing.
  CHECK(held > 10);
}

Test(lease_fuzz, a_voter_without_abstention_is_detected) {
  std::mt19937 random(13);
  bool detected = false;
  for (int round = 0; round < 500 && !detected; round++) {
    Simulation simulation(true);
    for (int i = 0; i < 2000; i++) {
      simulation.Step(std::uniform_int_distribution<int>(0, 16383)(random));
    }
    detected = !simulation.IsValid();
  }
  CHECK(detected);
}
