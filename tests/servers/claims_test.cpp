#include "spindleweir/servers/claims/claim_keeper.h"
#include "spindleweir/servers/claims/claim_round.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

ClaimMessage Ask(ClaimOperation aAsk, const std::string& aOwner,
                 const std::string& aDigest = "d") {
  ClaimMessage message;
  message.mOperation = aAsk;
  message.mRecord.mKey = "k";
  message.mRecord.mOwner = aOwner;
  message.mRecord.mDigest = aDigest;
  return message;
}

ClaimMessage Done(const std::string& aOwner, const std::string& aBody) {
  ClaimMessage message = Ask(ClaimOperation::kFinish, aOwner);
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
  CHECK(keeper.Handle(Ask(ClaimOperation::kAcquire, "a"), 0).mGranted);
  CHECK(!keeper.Handle(Ask(ClaimOperation::kAcquire, "b"), 1).mGranted);
  SECTION("a resent message of the owner is granted again") {
    CHECK(keeper.Handle(Ask(ClaimOperation::kAcquire, "a"), 1).mGranted);
  }
  SECTION("nobody else can release it") {
    keeper.Handle(Ask(ClaimOperation::kRelease, "b"), 1);
    CHECK(!keeper.Handle(Ask(ClaimOperation::kAcquire, "c"), 1).mGranted);
  }
  SECTION("released it is free, but not for a late message of its owner") {
    keeper.Handle(Ask(ClaimOperation::kRelease, "a"), 1);
    CHECK(!keeper.Handle(Ask(ClaimOperation::kAcquire, "a"), 2).mGranted);
    CHECK(keeper.Handle(Ask(ClaimOperation::kAcquire, "c"), 2).mGranted);
  }
}

Test(claims, a_finished_call_stays_finished) {
  ClaimKeeper keeper = MakeKeeper();
  keeper.Handle(Ask(ClaimOperation::kAcquire, "a"), 0);
  keeper.Handle(Done("a", "answer"), 1);
  SECTION("for its resends") {
    const ClaimReply reply =
        keeper.Handle(Ask(ClaimOperation::kAcquire, "b"), 2);
    CHECK(!reply.mGranted && reply.mRecord.mState == ClaimState::kDone);
    CHECK(reply.mRecord.mAnswer.mBody == "answer");
  }
  SECTION("against another owner's word") {
    CHECK(!keeper.Handle(Done("b", "other"), 2).mGranted);
  }
  SECTION("until it expires") {
    CHECK(keeper.Handle(Ask(ClaimOperation::kAcquire, "b"), 1002).mGranted);
  }
  SECTION("a large answer is told, not kept") {
    ClaimKeeper other = MakeKeeper();
    const ClaimReply reply = other.Handle(Done("a", "more than ten bytes"), 0);
    CHECK(!reply.mRecord.mAnswer.mBodyStored &&
          reply.mRecord.mAnswer.mBody.empty());
  }
}

Test(claims, nothing_is_promised_that_was_not_made_to_last) {
  bool broken = true;
  ClaimKeeper keeper({.mPersist = [&](const ClaimRecord&) {
    if (broken) {
      throw Error(ResultCode::kStorageFailed, "disk full");
    }
  }});
  CHECK(CodeThrownBy([&] {
          keeper.Handle(Ask(ClaimOperation::kAcquire, "a"), 0);
        }) == ResultCode::kStorageFailed);
  broken = false;
  CHECK(keeper.Handle(Ask(ClaimOperation::kAcquire, "b"), 0).mGranted);
}

Test(claims, a_round_needs_a_majority) {
  const ClaimRecord asked = Ask(ClaimOperation::kAcquire, "a").mRecord;
  const auto held = [&](ClaimState aState, const std::string& aDigest) {
    ClaimReply reply;
    reply.mRecord = asked;
    reply.mRecord.mOwner = "b";
    reply.mRecord.mState = aState;
    reply.mRecord.mDigest = aDigest;
    reply.mRecord.mGrantedWall = 50;
    return reply;
  };
  SECTION("two of three grant") {
    ClaimRound round(asked, 3, 0);
    round.OnReply("1", {true, asked});
    CHECK(round.Verdict() == ClaimVerdict::kPending);
    round.OnReply("1", {true, asked});
    CHECK(round.Verdict() == ClaimVerdict::kPending);
    round.OnReply("2", {true, asked});
    CHECK(round.Verdict() == ClaimVerdict::kGranted);
  }
  SECTION("two of three are silent: not run") {
    ClaimRound round(asked, 3, 0);
    round.OnNoReply("1");
    round.OnNoReply("2");
    CHECK(round.Verdict() == ClaimVerdict::kNoQuorum);
  }
  SECTION("another holds it") {
    ClaimRound round(asked, 3, 0);
    round.OnReply("1", held(ClaimState::kHeld, "d"));
    round.OnReply("2", held(ClaimState::kHeld, "d"));
    CHECK(round.Verdict() == ClaimVerdict::kInProgress);
  }
  SECTION("another held it so long that its router must be gone") {
    ClaimRound round(asked, 3, 100);
    round.OnReply("1", held(ClaimState::kHeld, "d"));
    round.OnReply("2", held(ClaimState::kHeld, "d"));
    CHECK(round.Verdict() == ClaimVerdict::kUnknown);
  }
  SECTION("one keeper knows the end") {
    ClaimRound round(asked, 3, 0);
    round.OnReply("1", {true, asked});
    round.OnReply("2", held(ClaimState::kDone, "d"));
    CHECK(round.Verdict() == ClaimVerdict::kDone);
  }
  SECTION("a majority knows the end, and one keeper is silent") {
    ClaimRound round(asked, 3, 0);
    round.OnReply("1", held(ClaimState::kHeld, "d"));
    round.OnNoReply("2");
    CHECK(round.Verdict() == ClaimVerdict::kPending);
    round.OnReply("3", held(ClaimState::kDone, "d"));
    CHECK(round.Verdict() == ClaimVerdict::kDone);
  }
  SECTION("one keeper holds it for another, and the others are silent") {
    ClaimRound round(asked, 3, 0);
    round.OnReply("1", held(ClaimState::kHeld, "d"));
    round.OnNoReply("2");
    round.OnNoReply("3");
    CHECK(round.Verdict() == ClaimVerdict::kInProgress);
  }
  SECTION("the key with another body") {
    ClaimRound round(asked, 3, 0);
    round.OnReply("1", held(ClaimState::kDone, "other"));
    CHECK(round.Verdict() == ClaimVerdict::kKeyReused);
  }
}
