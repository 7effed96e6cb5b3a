/// Controls of the product's own interface whose syncs take long: they go on
/// answering, and promise nothing that is not on disk yet.
#include <cerrno>
#include <filesystem>

#include "spindleweir/core/json_codec.h"
#include "spindleweir/daemons/peer_messages.h"
#include "spindleweir/drivers/file_tools.h"
#include "spindleweir/drivers/rpc_channel.h"
#include "spindleweir/servers/claims/claim_messages.h"
#include "tests/daemons/deployment.h"
#include "tests/failing_disk.h"

using namespace spindleweir;

namespace {

constexpr const char* kOperatorKey = "operator-key";
constexpr const char* kClusterKey = "cluster-key";
/// Longer than any message on the loopback interface takes.
constexpr Millis kPause = 300;
constexpr Millis kSlowSync = 1200;

/// An answer of a control that may still be outstanding.
struct ControlAnswer {
  int ErrorCode() const { return mReply["error"]["code"].asInt(); }
  bool IsGranted() const { return mReply["result"]["granted"].asBool(); }
  std::string Owner() const {
    return mReply["result"]["record"]["owner"].asString();
  }

  bool mDone = false;
  Json::Value mReply;
  std::unique_ptr<HttpCall> mCall;
};

using Answer = std::shared_ptr<ControlAnswer>;

ClaimMessage MakeMessage(ClaimOperation aOperation, const std::string& aOwner) {
  ClaimMessage message;
  message.mOperation = aOperation;
  message.mRecord.mKey = "k";
  message.mRecord.mOwner = aOwner;
  message.mRecord.mDigest = "d";
  if (aOperation == ClaimOperation::kFinish) {
    message.mRecord.mState = ClaimState::kDone;
  }
  return message;
}

/// A deployment, and messages to its first control.
struct Fixture {
  std::string Data(int aIndex) const {
    return mDeployment.mFolder.Path("control-" + std::to_string(aIndex));
  }
  std::string File(const std::string& aName) const {
    return Data(0) + "/" + aName;
  }

  /// Sends a message to the first control.
  Answer Send(const std::string& aMethod, const Json::Value& aMessage) {
    auto answer = std::make_shared<ControlAnswer>();
    Json::Value request(Json::objectValue);
    request["jsonrpc"] = "2.0";
    request["id"] = 1;
    request["method"] = aMethod;
    request["params"]["message"] = aMessage;
    HttpCallOptions options;
    options.mServer = mDeployment.mControls[0]->RpcAddress();
    options.mMethod = "POST";
    options.mPath = kRpcPath;
    options.mBody = DumpJson(request);
    options.mHeaders = {
        {"Authorization", std::string("Bearer ") + kClusterKey}};
    options.mTimeout = 20000;
    options.mOnDone = [answer](const HttpResult& aResult) {
      answer->mDone = true;
      answer->mReply =
          aResult.mComplete ? ParseJson(aResult.mBody) : Json::Value();
    };
    answer->mCall = mDeployment.mClient.Start(std::move(options));
    return answer;
  }

  Answer Claim(ClaimOperation aOperation, const std::string& aOwner) {
    return Send(rpc_method::kClaim, ToJson(MakeMessage(aOperation, aOwner)));
  }
  Answer Acquire(const std::string& aOwner) {
    return Claim(ClaimOperation::kAcquire, aOwner);
  }
  Answer AskForPage() {
    return Send(rpc_method::kClaimPage, ToJson(ClaimPageRequest{}));
  }
  Answer StoreReceipt() {
    ReceiptBatch batch;
    batch.mReceipts.push_back({.mRequest = "r-1"});
    return Send(rpc_method::kStoreReceipts, ToJson(batch));
  }
  Answer FindReceipt() {
    return Send(rpc_method::kFindReceipt, ToJson(ReceiptQuery{"r-1"}));
  }

  Answer Await(Answer aAnswer) {
    REQUIRE(mDeployment.RunUntil([&] { return aAnswer->mDone; }));
    return aAnswer;
  }

  /// Whether the first control answers an operator and a peer without delay.
  bool AnswersOthers() {
    const Millis began = SteadyNow();
    const HttpResult health =
        mDeployment.Fetch(mDeployment.mControls[0]->OperatorAddress(), "GET",
                          "/healthz", "", kOperatorKey);
    const Answer unknown =
        Await(Send(rpc_method::kFindReceipt, ToJson(ReceiptQuery{"none"})));
    return health.mStatus == 200 &&
           unknown->ErrorCode() ==
               static_cast<int>(ResultCode::kReceiptNotFound) &&
           SteadyNow() - began < kPause;
  }

  bool AwaitHeldSync() {
    return mDeployment.RunUntil([&] { return mDisk.HeldSyncs() > 0; });
  }

  bool Abstains() {
    const HttpResult state =
        mDeployment.Fetch(mDeployment.mControls[0]->OperatorAddress(), "GET",
                          "/v1/state", "", kOperatorKey);
    return state.mBody.find("\"claims_abstain\":true") != std::string::npos;
  }

  void Restart() {
    mDeployment.mControls[0].reset();
    mDeployment.StartControl(0);
    mDeployment.WriteEntryVms();
    REQUIRE(mDeployment.RunUntil(
        [&] { return mDeployment.mControls[0]->HasStarted(); }));
  }

  FailingDisk mDisk;
  Deployment mDeployment;
};

constexpr int kStorageFailed = static_cast<int>(ResultCode::kStorageFailed);

}  // namespace

/// Guards against a control that waited for its disk on the thread that reads
/// all messages, and against answers that left before their record was durable.
Test(hanging_sync, a_claim_is_answered_after_its_sync_and_nothing_else_waits) {
  Fixture fixture;
  fixture.mDeployment.Begin();
  fixture.mDisk.HoldSyncs({fixture.File("claims.log")});
  SECTION("a claim comes while syncs hang") {
    const Answer first = fixture.Acquire("a");
    REQUIRE(fixture.AwaitHeldSync());
    SECTION("other messages are answered") {
      CHECK(fixture.AnswersOthers());
    }
    SECTION("nothing that rests on the claim is answered") {
      const Answer other = fixture.Acquire("b");
      const Answer again = fixture.Acquire("a");
      const Answer page = fixture.AskForPage();
      fixture.mDeployment.RunFor(kPause);
      CHECK(!first->mDone && !other->mDone && !again->mDone && !page->mDone);
      SECTION("until it is durable") {
        fixture.mDisk.ReleaseSyncs();
        CHECK(fixture.Await(first)->IsGranted());
        CHECK(fixture.Await(again)->IsGranted());
        CHECK(!fixture.Await(other)->IsGranted() && other->Owner() == "a");
        CHECK(fixture.Await(page)->mReply["result"]["records"].size() == 1);
      }
    }
    SECTION("what was answered outlasts a loss of power") {
      fixture.mDeployment.mControls[0].reset();
      fixture.mDisk.LosePower(fixture.Data(0));
      fixture.Restart();
      CHECK(!fixture.Await(fixture.Acquire("b"))->IsGranted());
    }
  }
  SECTION("the end of a call, too, is answered after its sync") {
    fixture.mDisk.HoldSyncs({fixture.File("claims.log")});
    const Answer finish = fixture.Claim(ClaimOperation::kFinish, "a");
    REQUIRE(fixture.AwaitHeldSync());
    const Answer resend = fixture.Acquire("b");
    fixture.mDeployment.RunFor(kPause);
    CHECK(!finish->mDone && !resend->mDone);
    fixture.mDisk.ReleaseSyncs();
    CHECK(fixture.Await(finish)->IsGranted());
    CHECK(!fixture.Await(resend)->IsGranted());
  }
}

/// Guards against a key that was granted to one owner while the record of
/// another, whose sync had failed, might still reach the disk.
Test(hanging_sync, a_claim_whose_sync_fails_is_promised_to_nobody) {
  Fixture fixture;
  fixture.mDeployment.Begin();
  fixture.mDisk.HoldSyncs({fixture.File("claims.log")});
  const Answer first = fixture.Acquire("a");
  REQUIRE(fixture.AwaitHeldSync());
  const Answer other = fixture.Acquire("b");
  fixture.mDeployment.RunFor(kPause);
  fixture.mDisk.Fail({fixture.Data(0)}, CallsOfFullDisk(), ENOSPC);
  fixture.mDisk.ReleaseSyncs();
  SECTION("all that waited for it get the error") {
    CHECK(fixture.Await(first)->ErrorCode() == kStorageFailed);
    CHECK(fixture.Await(other)->ErrorCode() == kStorageFailed);
  }
  SECTION("and all that come until the log is written anew") {
    CHECK(fixture.Await(fixture.Acquire("b"))->ErrorCode() == kStorageFailed);
    CHECK(fixture.Await(fixture.AskForPage())->ErrorCode() == kStorageFailed);
    CHECK(fixture.AnswersOthers());
  }
  SECTION("then the key is still its first owner's") {
    fixture.mDisk.Recover();
    Answer late;
    REQUIRE(fixture.mDeployment.RunUntil([&] {
      late = fixture.Acquire("b");
      return fixture.Await(late)->ErrorCode() != kStorageFailed;
    }));
    CHECK(!late->IsGranted() && late->Owner() == "a");
    CHECK(fixture.Await(fixture.Acquire("a"))->IsGranted());
    SECTION("on the disk as well") {
      fixture.mDeployment.mControls[0].reset();
      fixture.mDisk.LosePower(fixture.Data(0));
      fixture.Restart();
      CHECK(fixture.Await(fixture.Acquire("b"))->Owner() == "a");
    }
    SECTION("until that owner releases it") {
      CHECK(fixture.Await(fixture.Claim(ClaimOperation::kRelease, "a"))
                ->IsGranted());
      CHECK(fixture.Await(fixture.Acquire("b"))->IsGranted());
    }
  }
}

Test(hanging_sync, a_receipt_batch_is_acknowledged_after_its_sync) {
  Fixture fixture;
  fixture.mDeployment.Begin();
  fixture.mDisk.HoldSyncs({fixture.File("receipts.log")});
  const Answer first = fixture.StoreReceipt();
  REQUIRE(fixture.AwaitHeldSync());
  SECTION("while the sync hangs, other messages are answered") {
    CHECK(fixture.AnswersOthers());
    fixture.mDeployment.RunFor(kPause);
    CHECK(!first->mDone);
    CHECK(fixture.Await(fixture.FindReceipt())->ErrorCode() ==
          static_cast<int>(ResultCode::kReceiptNotFound));
  }
  SECTION("a batch whose sync fails is not acknowledged") {
    fixture.mDisk.Fail({fixture.Data(0)}, CallsOfFullDisk(), ENOSPC);
    fixture.mDisk.ReleaseSyncs();
    CHECK(fixture.Await(first)->ErrorCode() == kStorageFailed);
    CHECK(fixture.Await(fixture.FindReceipt())->ErrorCode() ==
          static_cast<int>(ResultCode::kReceiptNotFound));
  }
  SECTION("once the disk is back, it is taken when sent again") {
    fixture.mDisk.Recover();
    REQUIRE(fixture.mDeployment.RunUntil([&] {
      return fixture.Await(fixture.StoreReceipt())->ErrorCode() == 0;
    }));
    const Answer found = fixture.Await(fixture.FindReceipt());
    CHECK(found->mReply["result"]["request"].asString() == "r-1");
  }
}

/// Guards against a marker that tells of records which a loss of power took.
Test(hanging_sync, an_empty_keeper_marks_itself_whole_after_what_it_copied) {
  Fixture fixture;
  fixture.mDeployment.Begin();
  const auto paid = fixture.mDeployment.Send(
      0, "POST", "/v1/services/kaunter-api/pay", "{}",
      {{"Authorization", "Bearer traveller-key"}, {"Idempotency-Key", "o-1"}});
  REQUIRE(fixture.mDeployment.RunUntil([&] { return paid->mDone; }));
  fixture.mDeployment.mControls[0].reset();
  std::filesystem::remove_all(fixture.Data(0));
  fixture.Restart();
  fixture.mDisk.HoldSyncs({fixture.File("claims.log")});
  REQUIRE(fixture.AwaitHeldSync());
  fixture.mDeployment.RunFor(kSlowSync);
  SECTION("no marker while the copied records are being synced") {
    CHECK(!ReadFile(fixture.File("claims.whole")).has_value());
    CHECK(fixture.Abstains());
    CHECK(fixture.AnswersOthers());
  }
  SECTION("it abstains until the marker is durable") {
    fixture.mDisk.HoldSyncs({fixture.File("claims.whole.new")});
    REQUIRE(fixture.AwaitHeldSync());
    CHECK(fixture.Abstains());
    CHECK(fixture.AnswersOthers());
  }
  SECTION("and then no longer") {
    fixture.mDisk.ReleaseSyncs();
    CHECK(fixture.mDeployment.RunUntil([&] { return !fixture.Abstains(); }));
  }
}

/// Guards against time limits that are shorter than a slow disk takes.
Test(hanging_sync, calls_that_may_run_once_run_while_all_syncs_are_slow) {
  Fixture fixture;
  fixture.mDeployment.Begin();
  fixture.mDisk.HoldSyncs({fixture.Data(0), fixture.Data(1), fixture.Data(2)},
                          kSlowSync);
  const auto pay = [&fixture](const std::string& aKey) {
    return fixture.mDeployment.Send(
        0, "POST", "/v1/services/kaunter-api/pay", "{}",
        {{"Authorization", "Bearer traveller-key"}, {"Idempotency-Key", aKey}});
  };
  std::vector<std::shared_ptr<CallerResult>> calls;
  for (int i = 0; i < 5; i++) {
    // Claims that come while a sync runs wait for two of them.
    calls.push_back(pay("order-" + std::to_string(i)));
    fixture.mDeployment.RunFor(kSlowSync / 4);
  }
  for (const std::shared_ptr<CallerResult>& call : calls) {
    REQUIRE(fixture.mDeployment.RunUntil([&] { return call->mDone; }));
    CHECK_FOUND(call->mHttp.mStatus == 200, call->mHttp.mBody);
  }
  fixture.mDisk.ReleaseSyncs();
}
