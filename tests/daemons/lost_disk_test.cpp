/// One disk is lost while all other processes lose power: acknowledged changes
/// are kept.
#include <array>
#include <filesystem>

#include "spindleweir/core/json_codec.h"
#include "tests/daemons/relay_fixture.h"

using namespace spindleweir;

namespace {

constexpr int kControls = 3;

/// Three controls with a disk each.
struct Controls {
  Controls() {
    for (Endpoint& address : mAddresses) {
      address = FreeEndpoint();
    }
    StartAll(true);
  }

  std::string Data(int aWhich) const {
    return mFolder.Path("data" + std::to_string(aWhich));
  }

  void StartAll(bool aFirstStart) {
    for (int i = 0; i < kControls; i++) {
      ControlOptions options;
      options.mZone = "z" + std::to_string(i);
      options.mRpcListen = mAddresses[static_cast<std::size_t>(i)];
      options.mOperatorListen = {"127.0.0.1", 1 + i};
      options.mClusterKey = "secret";
      options.mData = Data(i);
      options.mSeeds = {mAddresses.begin(), mAddresses.end()};
      options.mFirstStart = aFirstStart;
      options.mElectionTimeout = 100;
      options.mDocuments.mRead = [](std::string_view aText) {
        return FromJson<TrafficConfiguration>(ParseJson(aText));
      };
      mControls[static_cast<std::size_t>(i)] =
          std::make_unique<JoinedControl>(mLoop, std::move(options));
    }
  }

  void StopAll() {
    for (auto& control : mControls) {
      control.reset();
    }
  }

  /// Calls one control after the other until one of them returns kOk.
  template <class Call>
  OperatorAnswer CallUntilOk(const Call& aCall) {
    OperatorAnswer answer;
    answer.mCode = ResultCode::kNoQuorum;
    for (int i = 0; i < 400 && answer.mCode != ResultCode::kOk; i++) {
      bool ended = false;
      aCall(*mControls[static_cast<std::size_t>(i % kControls)],
            [&](const OperatorAnswer& aAnswer) {
              answer = aAnswer;
              ended = true;
            });
      REQUIRE(RunLoopUntil(mLoop, [&ended] { return ended; }));
      const Millis until = SteadyNow() + 20;
      RunLoopUntil(mLoop, [until] { return SteadyNow() >= until; });
    }
    return answer;
  }

  OperatorAnswer Publish(const std::string& aDocument) {
    return CallUntilOk(
        [&aDocument](JoinedControl& aControl, const auto& aDone) {
          aControl.Publish(aDocument, aDone);
        });
  }

  OperatorAnswer Read() {
    return CallUntilOk([](JoinedControl& aControl, const auto& aDone) {
      aControl.Read(aDone);
    });
  }

  TemporaryFolder mFolder;
  EventLoop mLoop;
  std::array<Endpoint, kControls> mAddresses;
  std::array<std::unique_ptr<JoinedControl>, kControls> mControls;
};

}  // namespace

Test(lost_disk, acknowledged_changes_survive_a_power_loss_of_all_others) {
  for (int lost = 0; lost < kControls; lost++) {
    Controls controls;
    const std::string document = Document(Traffic(7));
    REQUIRE(controls.Publish(Document(Traffic(6))).mCode == ResultCode::kOk);
    REQUIRE(controls.Publish(document).mCode == ResultCode::kOk);
    controls.StopAll();
    std::filesystem::remove_all(controls.Data(lost));
    controls.StartAll(false);
    SECTION("the others have the configuration, whichever disk is lost") {
      const OperatorAnswer answer = controls.Read();
      CHECK(answer.mCode == ResultCode::kOk);
      CHECK(answer.mDocument == document);
    }
    SECTION("the next change is accepted") {
      CHECK(controls.Publish(Document(Traffic(8))).mCode == ResultCode::kOk);
    }
  }
}
