/// Fuzzing of claims: over any keepers' crashes, lost and late messages, a key
/// runs at most once, and a call that was released did not run.
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

/// A router's attempt at the one key.
struct Attempt {
  std::string mOwner;
  std::unique_ptr<ClaimRound> mRound;
  bool mDispatched = false;
  bool mEnded = false;
};

/// A message or a reply on its way.
struct Letter {
  int mKeeper;
  std::size_t mAttempt;
  bool mIsReply;
  ClaimMessage mMessage;
  ClaimReply mReply;
};

class World {
 public:
  explicit World(bool aForgetful) : mForgetful(aForgetful) {
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
    if (mForgetful) {
      // The planted defect: what was promised is lost at a restart.
      mDisks[n].clear();
    }
    for (const ClaimRecord& record : mDisks[n]) {
      mKeepers[n]->Restore(record);
    }
  }

  void Step(int aDice) {
    const auto which = static_cast<std::size_t>(aDice / 8);
    switch (aDice % 8) {
      case 0:
        if (mAttempts.size() < 12) {
          NewAttempt();
        }
        break;
      case 1:
        Restart(static_cast<int>(which % kKeepers));
        break;
      case 2:
        if (!mLetters.empty()) {
          const auto it = mLetters.begin() +
                          static_cast<std::ptrdiff_t>(which % mLetters.size());
          const Letter lost = *it;
          mLetters.erase(it);
          if (lost.mIsReply) {
            OnNoReply(lost);
          }
        }
        break;
      case 3:
        if (!mLetters.empty() && mLetters.size() < 100) {
          mLetters.push_back(mLetters[which % mLetters.size()]);
        }
        break;
      case 4:
        GiveUp(which);
        break;
      default:
        Deliver(which);
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
      mLetters.push_back({keeper, aAttempt, false, aMessage, {}});
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
    if (!letter.mIsReply) {
      letter.mReply =
          mKeepers[static_cast<std::size_t>(letter.mKeeper)]->Handle(
              letter.mMessage, mNow++);
      letter.mIsReply = true;
      if (letter.mMessage.mOperation == ClaimOperation::kAcquire) {
        mLetters.push_back(letter);
      }
      return;
    }
    Attempt& attempt = mAttempts[letter.mAttempt];
    attempt.mRound->OnReply(std::to_string(letter.mKeeper), letter.mReply);
    Act(letter.mAttempt);
  }

  void OnNoReply(const Letter& aLetter) {
    mAttempts[aLetter.mAttempt].mRound->OnNoReply(
        std::to_string(aLetter.mKeeper));
    Act(aLetter.mAttempt);
  }

  /// What a router does on a verdict.
  void Act(std::size_t aAttempt) {
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

  /// A router that gives up waiting, as at its deadline.
  void GiveUp(std::size_t aWhich) {
    if (mAttempts.empty()) {
      return;
    }
    const std::size_t n = aWhich % mAttempts.size();
    for (int keeper = 0; keeper < kKeepers; keeper++) {
      mAttempts[n].mRound->OnNoReply(std::to_string(keeper));
    }
    Act(n);
  }

  int Runs() const { return mRuns; }

 private:
  bool mForgetful;
  std::vector<std::vector<ClaimRecord>> mDisks;
  std::vector<std::unique_ptr<ClaimKeeper>> mKeepers;
  std::vector<Attempt> mAttempts;
  std::vector<Letter> mLetters;
  Millis mNow = 0;
  int mRuns = 0;
};

int RunsOf(const std::vector<int>& aDice, bool aForgetful) {
  World world(aForgetful);
  for (int dice : aDice) {
    world.Step(dice);
  }
  return world.Runs();
}

}  // namespace

Test(claims_fuzz, a_key_runs_at_most_once) {
  cr_assert(rc::check("claims", [] {
    const auto dice = *rc::gen::container<std::vector<int>>(
        400, rc::gen::inRange(0, 8 * 128));
    RC_ASSERT(RunsOf(dice, false) <= 1);
  }));
}

Test(claims_fuzz, keepers_that_forget_are_caught) {
  std::mt19937 random(11);
  bool caught = false;
  for (int round = 0; round < 500 && !caught; round++) {
    std::vector<int> dice;
    for (int i = 0; i < 400; i++) {
      dice.push_back(std::uniform_int_distribution<int>(0, 1023)(random));
    }
    caught = RunsOf(dice, true) > 1;
  }
  CHECK(caught);
}
