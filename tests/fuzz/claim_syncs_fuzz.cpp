/// Fuzz test of claims on disks that are slow or fail: keepers remember what
/// they began to write, and answer once it is durable; a key runs at most once.
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <random>
#include <utility>
#include <vector>

#include "spindleweir/servers/claims/claim_keeper.h"
#include "spindleweir/servers/claims/claim_round.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr std::size_t kKeepers = 3;
constexpr std::size_t kMaxAttempts = 12;
constexpr int kSteps = 400;
constexpr int kActions = 12;
constexpr int kChoices = kActions * 128;

/// What is wrong with the keepers on purpose.
enum class Defect { kNone, kAnswersBeforeSync, kAnswersAfterFailure };

/// A router's attempt to run the call of the only key.
struct Attempt {
  std::unique_ptr<ClaimRound> mRound;
  bool mEnded = false;
};

/// A message on its way to a keeper, or a reply on its way back.
struct Message {
  std::size_t mKeeper;
  std::size_t mAttempt;
  ClaimMessage mMessage;
  bool mIsReply = false;
  bool mIsError = false;
  ClaimReply mReply;
};

/// A keeper with its disk. A write is durable after Sync(); one that is not may
/// have reached the disk nevertheless.
class Keeper {
 public:
  explicit Keeper(Defect aDefect) : mDefect(aDefect) { Load(); }

  /// Returns the replies that may be sent now.
  std::vector<Message> Handle(Message aMessage, Millis aNow) {
    aMessage.mIsReply = true;
    try {
      aMessage.mReply = mKeeper->Handle(aMessage.mMessage, aNow);
    } catch (const Error&) {
      aMessage.mIsError = true;
      return {aMessage};
    }
    if (mFailed) {
      aMessage.mIsError = true;
      return {aMessage};
    }
    if (mDefect == Defect::kAnswersBeforeSync || mPending.empty()) {
      return {aMessage};
    }
    mWaiting.push_back(std::move(aMessage));
    return {};
  }

  std::vector<Message> Sync() {
    if (mFailed) {
      return {};
    }
    Harden(mPending.size());
    return std::exchange(mWaiting, {});
  }

  /// The sync of what is pending fails; aReached records reach the disk.
  std::vector<Message> Fail(std::size_t aReached) {
    Harden(aReached);
    mFailed = true;
    std::vector<Message> replies = std::exchange(mWaiting, {});
    for (Message& reply : replies) {
      reply.mIsError = mDefect != Defect::kAnswersAfterFailure;
    }
    return replies;
  }

  /// The log is written anew from memory.
  void Rewrite() {
    if (!mFailed) {
      return;
    }
    mDisk.clear();
    for (const auto& [key, record] : mKeeper->Records()) {
      mDisk.push_back(record);
    }
    mFailed = false;
  }

  void Crash(std::size_t aReached) {
    Harden(aReached);
    mWaiting.clear();
    mFailed = false;
    Load();
  }

 private:
  void Harden(std::size_t aCount) {
    const std::size_t n = std::min(aCount, mPending.size());
    mDisk.insert(mDisk.end(), mPending.begin(),
                 mPending.begin() + static_cast<std::ptrdiff_t>(n));
    mPending.clear();
  }

  void Load() {
    mKeeper = std::make_unique<ClaimKeeper>(ClaimKeeperOptions{
        .mLifetime = 1000000, .mPersist = [this](const ClaimRecord& aRecord) {
          if (mFailed) {
            throw Error(ResultCode::kStorageFailed, "disk full");
          }
          mPending.push_back(aRecord);
        }});
    for (const ClaimRecord& record : mDisk) {
      mKeeper->Restore(record);
    }
  }

  Defect mDefect;
  std::unique_ptr<ClaimKeeper> mKeeper;
  std::vector<ClaimRecord> mDisk;     ///< Durable, oldest first.
  std::vector<ClaimRecord> mPending;  ///< Written, not synced.
  std::vector<Message> mWaiting;      ///< Replies that wait for the sync.
  bool mFailed = false;
};

/// Routers that try to run one call, and the keepers that they ask.
class Simulation {
 public:
  explicit Simulation(Defect aDefect) {
    for (std::size_t i = 0; i < kKeepers; i++) {
      mKeepers.push_back(std::make_unique<Keeper>(aDefect));
    }
  }

  void Step(int aChoice) {
    const auto index = static_cast<std::size_t>(aChoice / kActions);
    Keeper& keeper = *mKeepers[index % kKeepers];
    const std::size_t reached = index / kKeepers % 4;
    switch (aChoice % kActions) {
      case 0:
        Begin();
        break;
      case 1:
        keeper.Crash(reached);
        break;
      case 2:
        Receive(keeper.Fail(reached));
        break;
      case 3:
      case 4:
        keeper.Rewrite();
        break;
      case 5:
      case 6:
        Receive(keeper.Sync());
        break;
      case 7:
        StopWaiting(index);
        break;
      case 8:
        if (!mInFlight.empty() && mInFlight.size() < 100) {
          mInFlight.push_back(mInFlight[index % mInFlight.size()]);
        }
        break;
      default:
        Deliver(index);
        break;
    }
  }

  int Runs() const { return mRuns; }

 private:
  void Begin() {
    if (mAttempts.size() >= kMaxAttempts) {
      return;
    }
    ClaimRecord record;
    record.mKey = "key";
    record.mDigest = "digest";
    record.mOwner = "owner" + std::to_string(mAttempts.size());
    mAttempts.push_back(
        {.mRound = std::make_unique<ClaimRound>(record, kKeepers, 0)});
    Send(mAttempts.size() - 1, {ClaimOperation::kAcquire, record});
  }

  void Send(std::size_t aAttempt, const ClaimMessage& aMessage) {
    for (std::size_t keeper = 0; keeper < kKeepers; keeper++) {
      mInFlight.push_back(
          {.mKeeper = keeper, .mAttempt = aAttempt, .mMessage = aMessage});
    }
  }

  /// Sends the replies on their way back. A router repeats what is no claim
  /// until it has an answer.
  void Receive(const std::vector<Message>& aReplies) {
    for (const Message& reply : aReplies) {
      if (reply.mMessage.mOperation == ClaimOperation::kAcquire) {
        mInFlight.push_back(reply);
      } else if (reply.mIsError) {
        mInFlight.push_back({.mKeeper = reply.mKeeper,
                             .mAttempt = reply.mAttempt,
                             .mMessage = reply.mMessage});
      }
    }
  }

  void Deliver(std::size_t aIndex) {
    if (mInFlight.empty()) {
      return;
    }
    const auto it = mInFlight.begin() +
                    static_cast<std::ptrdiff_t>(aIndex % mInFlight.size());
    const Message message = *it;
    mInFlight.erase(it);
    if (!message.mIsReply) {
      Receive(mKeepers[message.mKeeper]->Handle(message, mNow++));
      return;
    }
    ClaimRound& round = *mAttempts[message.mAttempt].mRound;
    const std::string keeper = std::to_string(message.mKeeper);
    if (message.mIsError) {
      round.OnNoReply(keeper);
    } else {
      round.OnReply(keeper, message.mReply);
    }
    ActOnVerdict(message.mAttempt);
  }

  void StopWaiting(std::size_t aIndex) {
    if (mAttempts.empty()) {
      return;
    }
    const std::size_t n = aIndex % mAttempts.size();
    for (std::size_t keeper = 0; keeper < kKeepers; keeper++) {
      mAttempts[n].mRound->OnNoReply(std::to_string(keeper));
    }
    ActOnVerdict(n);
  }

  void ActOnVerdict(std::size_t aAttempt) {
    Attempt& attempt = mAttempts[aAttempt];
    const ClaimVerdict verdict = attempt.mRound->Verdict();
    if (attempt.mEnded || verdict == ClaimVerdict::kPending) {
      return;
    }
    attempt.mEnded = true;
    ClaimRecord record = attempt.mRound->Request();
    if (verdict != ClaimVerdict::kGranted) {
      Send(aAttempt, {ClaimOperation::kRelease, record});
      return;
    }
    mRuns++;
    record.mState = ClaimState::kDone;
    record.mAnswer.mBody = record.mOwner;
    Send(aAttempt, {ClaimOperation::kFinish, record});
  }

  std::vector<std::unique_ptr<Keeper>> mKeepers;
  std::vector<Attempt> mAttempts;
  std::vector<Message> mInFlight;
  Millis mNow = 0;
  int mRuns = 0;
};

int RunsOf(const std::vector<int>& aChoices, Defect aDefect) {
  Simulation simulation(aDefect);
  for (const int choice : aChoices) {
    simulation.Step(choice);
  }
  return simulation.Runs();
}

bool IsDetected(Defect aDefect) {
  constexpr int kRounds = 20000;
  std::mt19937 random(11);
  std::uniform_int_distribution<int> choice(0, kChoices - 1);
  for (int round = 0; round < kRounds; round++) {
    std::vector<int> choices(kSteps);
    std::generate(choices.begin(), choices.end(),
                  [&] { return choice(random); });
    if (RunsOf(choices, aDefect) > 1) {
      return true;
    }
  }
  return false;
}

}  // namespace

Test(claim_syncs_fuzz, a_key_runs_at_most_once_on_disks_that_fail) {
  cr_assert(rc::check("claims on disks that fail", [] {
    const auto choices = *rc::gen::container<std::vector<int>>(
        kSteps, rc::gen::inRange(0, kChoices));
    RC_ASSERT(RunsOf(choices, Defect::kNone) <= 1);
  }));
}

Test(claim_syncs_fuzz, keepers_that_promise_too_early_are_detected) {
  CHECK(!IsDetected(Defect::kNone));
  CHECK(IsDetected(Defect::kAnswersBeforeSync));
  CHECK(IsDetected(Defect::kAnswersAfterFailure));
}
