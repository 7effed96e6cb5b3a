#include "spindleweir/servers/claims/claim_keeper.h"
#include "spindleweir/servers/claims/claim_round.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

ClaimMessage MakeMessage(ClaimOperation aOperation, const std::string& aOwner,
                         const std::string& aDigest = "d") {
  ClaimMessage message;
  message.mOperation = aOperation;
  message.mRecord.mKey = "k";
  message.mRecord.mOwner = aOwner;
  message.mRecord.mDigest = aDigest;
  return message;
}

ClaimMessage MakeDoneMessage(const std::string& aOwner,
                             const std::string& aBody) {
  ClaimMessage message = MakeMessage(ClaimOperation::kFinish, aOwner);
  message.mRecord.mState = ClaimState::kDone;
  message.mRecord.mAnswer.mBody = aBody;
  return message;
}

ClaimKeeper MakeKeeper() {
  return ClaimKeeper({.mLifetime = 1000,
                      .mMaximumAnswerBytes = 10,
                      .mPersist = [](const ClaimRecord&) {}});
}

}  // namespace

Test(claims, a_keeper_grants_a_key_once) {
  ClaimKeeper keeper = MakeKeeper();
  CHECK(keeper.Handle(MakeMessage(ClaimOperation::kAcquire, "a"), 0).mGranted);
  CHECK(!keeper.Handle(MakeMessage(ClaimOperation::kAcquire, "b"), 1).mGranted);
  SECTION("a repeated message of the owner is granted again") {
    CHECK(
        keeper.Handle(MakeMessage(ClaimOperation::kAcquire, "a"), 1).mGranted);
  }
  SECTION("another owner cannot release the key") {
    keeper.Handle(MakeMessage(ClaimOperation::kRelease, "b"), 1);
    CHECK(
        !keeper.Handle(MakeMessage(ClaimOperation::kAcquire, "c"), 1).mGranted);
  }
  SECTION("a released key is free, but not for a late message of its owner") {
    keeper.Handle(MakeMessage(ClaimOperation::kRelease, "a"), 1);
    CHECK(
        !keeper.Handle(MakeMessage(ClaimOperation::kAcquire, "a"), 2).mGranted);
    CHECK(
        keeper.Handle(MakeMessage(ClaimOperation::kAcquire, "c"), 2).mGranted);
  }
}

Test(claims, a_finished_call_stays_finished) {
  ClaimKeeper keeper = MakeKeeper();
  keeper.Handle(MakeMessage(ClaimOperation::kAcquire, "a"), 0);
  keeper.Handle(MakeDoneMessage("a", "answer"), 1);
  SECTION("for repeated requests") {
    const ClaimReply reply =
        keeper.Handle(MakeMessage(ClaimOperation::kAcquire, "b"), 2);
    CHECK(!reply.mGranted && reply.mRecord.mState == ClaimState::kDone);
    CHECK(reply.mRecord.mAnswer.mBody == "answer");
  }
  SECTION("although another owner reports an outcome") {
    CHECK(!keeper.Handle(MakeDoneMessage("b", "other"), 2).mGranted);
  }
  SECTION("until it expires") {
    CHECK(keeper.Handle(MakeMessage(ClaimOperation::kAcquire, "b"), 1002)
              .mGranted);
  }
  SECTION("an answer that is too large is recorded without its body") {
    ClaimKeeper other = MakeKeeper();
    const ClaimReply reply =
        other.Handle(MakeDoneMessage("a", "more than ten bytes"), 0);
    CHECK(!reply.mRecord.mAnswer.mBodyStored &&
          reply.mRecord.mAnswer.mBody.empty());
  }
}

Test(claims, a_claim_that_was_not_persisted_is_not_granted) {
  bool broken = true;
  ClaimKeeper keeper({.mPersist = [&](const ClaimRecord&) {
    if (broken) {
      throw Error(ResultCode::kStorageFailed, "disk full");
    }
  }});
  CHECK(CodeThrownBy([&] {
          keeper.Handle(MakeMessage(ClaimOperation::kAcquire, "a"), 0);
        }) == ResultCode::kStorageFailed);
  broken = false;
  CHECK(keeper.Handle(MakeMessage(ClaimOperation::kAcquire, "b"), 0).mGranted);
}

Test(claims, a_round_needs_a_majority) {
  const ClaimRecord requested =
      MakeMessage(ClaimOperation::kAcquire, "a").mRecord;
  const auto replyOfOther = [&](ClaimState aState, const std::string& aDigest) {
    ClaimReply reply;
    reply.mRecord = requested;
    reply.mRecord.mOwner = "b";
    reply.mRecord.mState = aState;
    reply.mRecord.mDigest = aDigest;
    reply.mRecord.mGrantedWall = 50;
    return reply;
  };
  SECTION("two of three grant") {
    ClaimRound round(requested, 3, 0);
    round.OnReply("1", {true, requested});
    CHECK(round.Verdict() == ClaimVerdict::kPending);
    round.OnReply("1", {true, requested});
    CHECK(round.Verdict() == ClaimVerdict::kPending);
    round.OnReply("2", {true, requested});
    CHECK(round.Verdict() == ClaimVerdict::kGranted);
  }
  SECTION("two of three do not reply: not run") {
    ClaimRound round(requested, 3, 0);
    round.OnNoReply("1");
    round.OnNoReply("2");
    CHECK(round.Verdict() == ClaimVerdict::kNoQuorum);
  }
  SECTION("another attempt holds the key") {
    ClaimRound round(requested, 3, 0);
    round.OnReply("1", replyOfOther(ClaimState::kHeld, "d"));
    round.OnReply("2", replyOfOther(ClaimState::kHeld, "d"));
    CHECK(round.Verdict() == ClaimVerdict::kInProgress);
  }
  SECTION("another attempt's claim is stale: the outcome is unknown") {
    ClaimRound round(requested, 3, 100);
    round.OnReply("1", replyOfOther(ClaimState::kHeld, "d"));
    round.OnReply("2", replyOfOther(ClaimState::kHeld, "d"));
    CHECK(round.Verdict() == ClaimVerdict::kUnknown);
  }
  SECTION("one keeper has the outcome") {
    ClaimRound round(requested, 3, 0);
    round.OnReply("1", {true, requested});
    round.OnReply("2", replyOfOther(ClaimState::kDone, "d"));
    CHECK(round.Verdict() == ClaimVerdict::kDone);
  }
  SECTION("a majority has the outcome, and one keeper does not reply") {
    ClaimRound round(requested, 3, 0);
    round.OnReply("1", replyOfOther(ClaimState::kHeld, "d"));
    round.OnNoReply("2");
    CHECK(round.Verdict() == ClaimVerdict::kPending);
    round.OnReply("3", replyOfOther(ClaimState::kDone, "d"));
    CHECK(round.Verdict() == ClaimVerdict::kDone);
  }
  SECTION("one keeper holds the key for another, and the rest do not reply") {
    ClaimRound round(requested, 3, 0);
    round.OnReply("1", replyOfOther(ClaimState::kHeld, "d"));
    round.OnNoReply("2");
    round.OnNoReply("3");
    CHECK(round.Verdict() == ClaimVerdict::kInProgress);
  }
  SECTION("the key was used with a different body") {
    ClaimRound round(requested, 3, 0);
    round.OnReply("1", replyOfOther(ClaimState::kDone, "other"));
    CHECK(round.Verdict() == ClaimVerdict::kKeyReused);
  }
}
