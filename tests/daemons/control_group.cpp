#include "tests/daemons/control_group.h"

#include <algorithm>

#include "spindleweir/core/json_codec.h"

namespace spindleweir {

ControlGroup::ControlGroup(bool aStarts) {
  for (Endpoint& address : mAddresses) {
    address = FreeEndpoint();
  }
  if (aStarts) {
    StartAll(true);
  }
}

std::string ControlGroup::Data(int aWhich) const {
  return mFolder.Path("data" + std::to_string(aWhich));
}

ControlOptions ControlGroup::OptionsOf(int aWhich, bool aFirstStart) const {
  ControlOptions options;
  options.mZone = "z" + std::to_string(aWhich);
  options.mRpcListen = mAddresses[static_cast<std::size_t>(aWhich)];
  options.mOperatorListen = {"127.0.0.1", 1 + aWhich};
  options.mClusterKey = "secret";
  options.mData = Data(aWhich);
  options.mSeeds = {mAddresses.begin(), mAddresses.end()};
  options.mFirstStart = aFirstStart;
  options.mElectionTimeout = 100;
  options.mDocuments.mRead = [](std::string_view aText) {
    return FromJson<TrafficConfiguration>(ParseJson(aText));
  };
  return options;
}

void ControlGroup::Start(int aWhich, bool aFirstStart) {
  mControls[static_cast<std::size_t>(aWhich)] =
      std::make_unique<JoinedControl>(mLoop, OptionsOf(aWhich, aFirstStart));
}

void ControlGroup::StartAll(bool aFirstStart) {
  for (int i = 0; i < kControls; i++) {
    Start(i, aFirstStart);
  }
}

void ControlGroup::StopAll() {
  for (auto& control : mControls) {
    control.reset();
  }
}

bool ControlGroup::AllStarted() const {
  return std::all_of(mControls.begin(), mControls.end(), [](const auto& aItem) {
    return aItem == nullptr || aItem->HasStarted();
  });
}

OperatorAnswer ControlGroup::CallUntilOk(
    const std::function<void(JoinedControl&, const OperatorDone&)>& aCall) {
  OperatorAnswer answer;
  answer.mCode = ResultCode::kNoQuorum;
  for (int i = 0; i < 400 && answer.mCode != ResultCode::kOk; i++) {
    const auto& control = mControls[static_cast<std::size_t>(i % kControls)];
    if (control == nullptr) {
      continue;
    }
    bool ended = false;
    aCall(*control, [&](const OperatorAnswer& aAnswer) {
      answer = aAnswer;
      ended = true;
    });
    REQUIRE(RunLoopUntil(mLoop, [&ended] { return ended; }));
    Wait(20);
  }
  return answer;
}

OperatorAnswer ControlGroup::Publish(const std::string& aDocument) {
  return CallUntilOk([&aDocument](JoinedControl& aControl, const auto& aDone) {
    aControl.Publish(aDocument, aDone);
  });
}

OperatorAnswer ControlGroup::Read() {
  return CallUntilOk(
      [](JoinedControl& aControl, const auto& aDone) { aControl.Read(aDone); });
}

OperatorAnswer ControlGroup::ReadAt(int aWhich) {
  OperatorAnswer answer;
  bool ended = false;
  Control(aWhich).Read([&](const OperatorAnswer& aAnswer) {
    answer = aAnswer;
    ended = true;
  });
  REQUIRE(RunLoopUntil(mLoop, [&ended] { return ended; }));
  return answer;
}

void ControlGroup::Wait(Millis aTime) {
  const Millis until = SteadyNow() + aTime;
  RunLoopUntil(mLoop, [until] { return SteadyNow() >= until; });
}

}  // namespace spindleweir
