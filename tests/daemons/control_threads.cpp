#include "tests/daemons/control_threads.h"

#include <chrono>
#include <utility>

#include "spindleweir/core/json_codec.h"
#include "tests/daemons/relay_fixture.h"

namespace spindleweir {

namespace {

/// As on the users' platform.
constexpr Millis kElectionTimeout = 350;
/// How often a control looks for calls.
constexpr Millis kCallPeriod = 2;
/// How often the operator looks for answers.
constexpr Millis kAnswerPeriod = 5;
constexpr Millis kReadPause = 200;

void Sleep(Millis aTime) {
  std::this_thread::sleep_for(std::chrono::milliseconds(aTime));
}

bool HasCome(const std::future<OperatorAnswer>& aAnswer) {
  return aAnswer.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
}

Endpoint OperatorAddress(int aWhich) {
  return {"127.0.0.1", 1 + aWhich};
}

}  // namespace

ControlThread::ControlThread(ControlOptions aOptions)
    : mOptions(std::move(aOptions)), mThread([this] { Run(); }) {}

ControlThread::~ControlThread() {
  BeginKill();
  mThread.join();
}

void ControlThread::Run() {
  EventLoop loop;
  JoinedControl control(loop, mOptions);
  const auto poll = loop.Every(kCallPeriod, [&] {
    RunCalls(control);
    if (mStop) {
      loop.Stop();
    }
  });
  loop.Run();
}

void ControlThread::RunCalls(JoinedControl& aControl) {
  std::vector<std::function<void(JoinedControl&)>> calls;
  {
    const std::lock_guard lock(mMutex);
    calls.swap(mCalls);
  }
  for (const auto& call : calls) {
    call(aControl);
  }
}

std::future<OperatorAnswer> ControlThread::Ask(Call aCall) {
  const auto answer = std::make_shared<std::promise<OperatorAnswer>>();
  const std::lock_guard lock(mMutex);
  mCalls.push_back([answer, call = std::move(aCall)](JoinedControl& aControl) {
    call(aControl, [answer](const OperatorAnswer& aAnswer) {
      answer->set_value(aAnswer);
    });
  });
  return answer->get_future();
}

ControlThreads::ControlThreads() {
  for (Endpoint& address : mAddresses) {
    address = FreeEndpoint();
  }
  StartAll(true);
}

ControlThreads::~ControlThreads() {
  KillAll();
}

std::string ControlThreads::Data(int aWhich) const {
  return mFolder.Path("data" + std::to_string(aWhich));
}

ControlOptions ControlThreads::OptionsOf(int aWhich, bool aFirstStart) const {
  ControlOptions options;
  options.mZone = "z" + std::to_string(aWhich);
  options.mRpcListen = mAddresses[static_cast<std::size_t>(aWhich)];
  options.mOperatorListen = OperatorAddress(aWhich);
  options.mClusterKey = "secret";
  options.mData = Data(aWhich);
  options.mSeeds = {mAddresses.begin(), mAddresses.end()};
  options.mFirstStart = aFirstStart;
  options.mElectionTimeout = kElectionTimeout;
  options.mDocuments.mRead = [](std::string_view aText) {
    return FromJson<TrafficConfiguration>(ParseJson(aText));
  };
  return options;
}

void ControlThreads::StartAll(bool aFirstStart) {
  for (int i = 0; i < kControls; i++) {
    mControls[static_cast<std::size_t>(i)] =
        std::make_unique<ControlThread>(OptionsOf(i, aFirstStart));
  }
}

void ControlThreads::KillAll() {
  for (const auto& control : mControls) {
    if (control != nullptr) {
      control->BeginKill();
    }
  }
  for (auto& control : mControls) {
    control.reset();
  }
}

int ControlThreads::Next(int aWhich, const OperatorAnswer& aAnswer) const {
  for (int i = 0; i < kControls; i++) {
    if (aAnswer.mLeader == OperatorAddress(i).Text()) {
      return i;
    }
  }
  return (aWhich + 1) % kControls;
}

std::optional<Millis> ControlThreads::Publish(const std::string& aDocument,
                                              Millis aLongest) {
  const Millis began = SteadyNow();
  const auto publish = [aDocument](JoinedControl& aControl,
                                   const OperatorDone& aDone) {
    aControl.Publish(aDocument, aDone);
  };
  for (;;) {
    std::future<OperatorAnswer> call =
        mControls[static_cast<std::size_t>(mAsked)]->Ask(publish);
    const Millis left = aLongest - (SteadyNow() - began);
    if (call.wait_for(std::chrono::milliseconds(left)) !=
        std::future_status::ready) {
      return std::nullopt;
    }
    const OperatorAnswer answer = call.get();
    if (answer.mCode == ResultCode::kOk) {
      return SteadyNow() - began;
    }
    mAsked = Next(mAsked, answer);
  }
}

std::optional<std::string> ControlThreads::Read(Millis aLongest) {
  struct PendingRead {
    std::future<OperatorAnswer> mAnswer;
    Millis mNextAt = 0;
  };
  const auto read = [](JoinedControl& aControl, const OperatorDone& aDone) {
    aControl.Read(aDone);
  };
  std::array<PendingRead, kControls> reads;
  const Millis began = SteadyNow();
  for (Millis now = began; now - began <= aLongest; now = SteadyNow()) {
    for (std::size_t i = 0; i < reads.size(); i++) {
      PendingRead& pending = reads[i];
      if (!pending.mAnswer.valid() && now >= pending.mNextAt) {
        pending.mAnswer = mControls[i]->Ask(read);
      }
      if (!pending.mAnswer.valid() || !HasCome(pending.mAnswer)) {
        continue;
      }
      const OperatorAnswer answer = pending.mAnswer.get();
      if (answer.mCode == ResultCode::kOk) {
        return answer.mDocument;
      }
      pending.mNextAt = now + kReadPause;
    }
    Sleep(kAnswerPeriod);
  }
  return std::nullopt;
}

}  // namespace spindleweir
