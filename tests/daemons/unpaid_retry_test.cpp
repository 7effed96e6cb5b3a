/// Each arrival of a request at an upstream beyond its first one must be paid
/// for. Where nothing may be spent no request arrives twice, however its
/// attempt fails; where a little may be spent, no more than that.
#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "tests/daemons/relay_fixture.h"

using namespace spindleweir;

namespace {

constexpr int kCalls = 4;
constexpr double kSlack = 10;
/// Longer than a test takes, so that nothing is spent twice by right.
constexpr Millis kWindow = 60000;
/// A busy control may grant too late for some calls.
constexpr int kRounds = 50;

/// A router with two upstreams, which count what arrives at them.
struct RetryCount {
  explicit RetryCount(double aSlack)
      : mFixture(kShortWarmUp, {.mRatio = 0,
                                .mWindow = kWindow,
                                .mSlack = aSlack,
                                .mUsableShare = 1}) {}

  int Arrivals(const std::string& aRequest) const {
    return mFixture.mA.Arrivals(aRequest) + mFixture.mB.Arrivals(aRequest);
  }

  /// Sends calls at once whose attempts all fail so, and waits for their ends;
  /// returns how often upstreams received one beyond its first arrival.
  int RetriesOf(const std::string& aTarget, UpstreamAction aFailure,
                int aCalls = kCalls) {
    const std::vector<UpstreamAction> failures(1000, aFailure);
    mFixture.mA.QueueActions(failures);
    mFixture.mB.QueueActions(failures);
    std::vector<std::string> ids;
    std::vector<std::unique_ptr<OpenCall>> calls;
    for (int i = 0; i < aCalls; i++) {
      ids.push_back("c" + std::to_string(mNumber++));
      calls.push_back(mFixture.Open(aTarget, ids.back()));
    }
    CHECK(mFixture.RunUntil([&calls] {
      return std::all_of(calls.begin(), calls.end(),
                         [](const auto& aCall) { return aCall->mEnded; });
    }));
    int retries = 0;
    int arrived = 0;
    for (const std::string& id : ids) {
      arrived += std::min(1, Arrivals(id));
      retries += std::max(0, Arrivals(id) - 1);
    }
    // Without arrivals the count would prove nothing.
    CHECK(arrived > 0);
    return retries;
  }

  void CheckNone(const std::string& aTarget, UpstreamAction aFailure) {
    const int retries = RetriesOf(aTarget, aFailure);
    CHECK_FOUND(retries == 0, aTarget + " " +
                                  std::to_string(static_cast<int>(aFailure)) +
                                  ": " + std::to_string(retries));
  }

  RelayFixture mFixture;
  int mNumber = 0;
};

}  // namespace

Test(unpaid_retry, does_not_reach_a_plain_upstream_where_none_may_be_spent) {
  RetryCount count(0);
  count.mFixture.mSlots = 2 * kCalls;
  count.mFixture.Begin();
  count.CheckNone("/look/1", UpstreamAction::kRefuse);
  count.CheckNone("/look/1", UpstreamAction::kFail);
  count.CheckNone("/look/1", UpstreamAction::kTruncate);
  count.CheckNone("/stream/1", UpstreamAction::kRefuse);
  count.CheckNone("/stream/1", UpstreamAction::kTruncate);
  count.CheckNone("/stream/1", UpstreamAction::kStall);
}

Test(unpaid_retry, does_not_reach_engines_where_none_may_be_spent) {
  for (const UpstreamAction failure :
       {UpstreamAction::kRefuse, UpstreamAction::kFail,
        UpstreamAction::kTruncate, UpstreamAction::kStall}) {
    RetryCount count(0);
    count.mFixture.BeginEngine(count.mFixture.mA);
    count.mFixture.SendEngineHeartbeat(count.mFixture.mB);
    count.mFixture.Wait(200);
    count.CheckNone("/stream/1", failure);
  }
}

Test(unpaid_retry, does_not_reach_an_upstream_beyond_a_small_slack) {
  RetryCount count(kSlack);
  count.mFixture.mSlots = 6 * kCalls;
  count.mFixture.Begin();
  int retries = 0;
  for (int round = 0; round < kRounds && retries <= kSlack / 2; round++) {
    retries += count.RetriesOf("/look/1", UpstreamAction::kFail);
  }
  SECTION("what may be spent is spent") {
    CHECK_FOUND(retries > kSlack / 2, std::to_string(retries));
  }
  retries += count.RetriesOf("/look/1", UpstreamAction::kFail, 5 * kCalls);
  CHECK_FOUND(retries <= kSlack, std::to_string(retries));
}
