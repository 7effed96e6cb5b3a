/// Fuzz test of claims: with keepers that crash and messages that are lost,
/// repeated or delayed, the call of a key runs at most once.
#include <rapidcheck.h>

#include <map>
#include <memory>
#include <random>
#include <vector>

#include "spindleweir/servers/claims/claim_keeper.h"
#include "spindleweir/servers/claims/claim_round.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr int kKeepers = 3;

/// A router's attempt to run the call of the only key.
struct Attempt {
  std::string mOwner;
  std::unique_ptr<ClaimRound> mRound;
  bool mDispatched = false;
  bool mEnded = false;
};

/// A message or reply that was sent and not yet delivered.
struct InFlightMessage {
  int mKeeper;
  std::size_t mAttempt;
  bool mIsReply;
  ClaimMessage mMessage;
  ClaimReply mReply;
};

class ClaimSimulation {
 public:
  explicit ClaimSimulation(bool aLosesRecords) : mLosesRecords(aLosesRecords) {
    for (int i = 0; i < kKeepers; i++) {
      mDisks.emplace_back();
      mKeepers.emplace_back();
      Restart(i);
    }
  }

  void Restart(int aKeeper) {
    const auto n = static_cast<std::size_t>(aKeeper);
    mKeepers[n] = std::make_unique<ClaimKeeper>(ClaimKeeperOptions{
        .mLifetime = 1000000, .mPersist = [this, n](const ClaimRecord& aItem) {
          mDisks[n].push_back(aItem);
        }});
    if (mLosesRecords) {
      // The injected fault: a restart loses the persisted records.
      mDisks[n].clear();
    }
    for (const ClaimRecord& record : mDisks[n]) {
      mKeepers[n]->Restore(record);
    }
  }

  void Step(int aChoice) {
    const auto index = static_cast<std::size_t>(aChoice / 8);
    switch (aChoice % 8) {
      case 0:
        if (mAttempts.size() < 12) {
          NewAttempt();
        }
        break;
      case 1:
        Restart(static_cast<int>(index % kKeepers));
        break;
      case 2:
        if (!mInFlight.empty()) {
          const auto it = mInFlight.begin() +
                          static_cast<std::ptrdiff_t>(index % mInFlight.size());
          const InFlightMessage lost = *it;
          mInFlight.erase(it);
          if (lost.mIsReply) {
            OnNoReply(lost);
          }
        }
        break;
      case 3:
        if (!mInFlight.empty() && mInFlight.size() < 100) {
          mInFlight.push_back(mInFlight[index % mInFlight.size()]);
        }
        break;
      case 4:
        StopWaiting(index);
        break;
      default:
        Deliver(index);
        break;
    }
  }

  void NewAttempt() {
    Attempt attempt;
    attempt.mOwner = "owner" + std::to_string(mAttempts.size());
    ClaimRecord record;
    record.mKey = "key";
    record.mDigest = "digest";
    record.mOwner = attempt.mOwner;
    attempt.mRound = std::make_unique<ClaimRound>(record, kKeepers, 0);
    mAttempts.push_back(std::move(attempt));
    Send(mAttempts.size() - 1, {ClaimOperation::kAcquire, record});
  }

  void Send(std::size_t aAttempt, const ClaimMessage& aMessage) {
    for (int keeper = 0; keeper < kKeepers; keeper++) {
      mInFlight.push_back({keeper, aAttempt, false, aMessage, {}});
    }
  }

  void Deliver(std::size_t aIndex) {
    if (mInFlight.empty()) {
      return;
    }
    const auto it = mInFlight.begin() +
                    static_cast<std::ptrdiff_t>(aIndex % mInFlight.size());
    InFlightMessage message = *it;
    mInFlight.erase(it);
    if (!message.mIsReply) {
      message.mReply =
          mKeepers[static_cast<std::size_t>(message.mKeeper)]->Handle(
              message.mMessage, mNow++);
      message.mIsReply = true;
      if (message.mMessage.mOperation == ClaimOperation::kAcquire) {
        mInFlight.push_back(message);
      }
      return;
    }
    Attempt& attempt = mAttempts[message.mAttempt];
    attempt.mRound->OnReply(std::to_string(message.mKeeper), message.mReply);
    ActOnVerdict(message.mAttempt);
  }

  void OnNoReply(const InFlightMessage& aMessage) {
    mAttempts[aMessage.mAttempt].mRound->OnNoReply(
        std::to_string(aMessage.mKeeper));
    ActOnVerdict(aMessage.mAttempt);
  }

  /// Acts on the verdict of an attempt's round as a router does.
  void ActOnVerdict(std::size_t aAttempt) {
    Attempt& attempt = mAttempts[aAttempt];
    const ClaimVerdict verdict = attempt.mRound->Verdict();
    if (attempt.mEnded || verdict == ClaimVerdict::kPending) {
      return;
    }
    attempt.mEnded = true;
    if (verdict != ClaimVerdict::kGranted) {
      Send(aAttempt, {ClaimOperation::kRelease, attempt.mRound->Request()});
      return;
    }
    attempt.mDispatched = true;
    mRuns++;
    ClaimRecord record = attempt.mRound->Request();
    record.mState = ClaimState::kDone;
    record.mAnswer.mBody = attempt.mOwner;
    Send(aAttempt, {ClaimOperation::kFinish, record});
  }

  /// Ends an attempt's wait for replies, as a router does at its deadline.
  void StopWaiting(std::size_t aIndex) {
    if (mAttempts.empty()) {
      return;
    }
    const std::size_t n = aIndex % mAttempts.size();
    for (int keeper = 0; keeper < kKeepers; keeper++) {
      mAttempts[n].mRound->OnNoReply(std::to_string(keeper));
    }
    ActOnVerdict(n);
  }

  int Runs() const { return mRuns; }

 private:
  bool mLosesRecords;
  std::vector<std::vector<ClaimRecord>> mDisks;
  std::vector<std::unique_ptr<ClaimKeeper>> mKeepers;
  std::vector<Attempt> mAttempts;
  std::vector<InFlightMessage> mInFlight;
  Millis mNow = 0;
  int mRuns = 0;
};

int RunsOf(const std::vector<int>& aChoices, bool aLosesRecords) {
  ClaimSimulation simulation(aLosesRecords);
  for (int choice : aChoices) {
    simulation.Step(choice);
  }
  return simulation.Runs();
}

}  // namespace

Test(claims_fuzz, a_key_runs_at_most_once) {
  cr_assert(rc::check("claims", [] {
    const auto choices = *rc::gen::container<std::vector<int>>(
        400, rc::gen::inRange(0, 8 * 128));
    RC_ASSERT(RunsOf(choices, false) <= 1);
  }));
}

Test(claims_fuzz, keepers_that_lose_their_records_are_detected) {
  std::mt19937 random(11);
  bool detected = false;
  for (int round = 0; round < 500 && !detected; round++) {
    std::vector<int> choices;
    for (int i = 0; i < 400; i++) {
      choices.push_back(std::uniform_int_distribution<int>(0, 1023)(random));
    }
    detected = RunsOf(choices, true) > 1;
  }
  CHECK(detected);
}
