#include "standins/service_standin.h"

#include "spindleweir/daemons/answers.h"

namespace spindleweir {

namespace {

constexpr int kHttpOk = 200;

}  // namespace

ServiceStandin::ServiceStandin(EventLoop& aLoop, ServiceStandinOptions aOptions)
    : mLoop(aLoop),
      mOptions(std::move(aOptions)),
      mRecord(mOptions.mRecord, mOptions.mVm) {
  mServer = std::make_unique<HttpServer>(
      aLoop,
      HttpServerOptions{
          .mListen = mOptions.mListen,
          .mHandle = [this](const std::shared_ptr<HttpExchange>& aExchange) {
            Handle(aExchange);
          }});
}

void ServiceStandin::Handle(const std::shared_ptr<HttpExchange>& aExchange) {
  Json::Value answer(Json::objectValue);
  answer["vm"] = mOptions.mVm;
  if (aExchange->Path() == "/runs") {
    answer["runs"] = mRuns;
    ReplyJson(*aExchange, kHttpOk, answer);
    return;
  }
  const int run = ++mRuns;
  Json::Value fields(Json::objectValue);
  fields["key"] = std::string(aExchange->Header("Idempotency-Key"));
  fields["request"] = std::string(aExchange->Header("X-Request-Id"));
  fields["workspace"] = std::string(aExchange->Header("X-Workspace"));
  fields["path"] = aExchange->Path();
  mRecord.Write("run", fields);
  answer["run"] = run;
  answer["path"] = aExchange->Path();
  answer["echo"] = aExchange->Body();
  // In running time: a service that shares a process with its callers stands
  // still when they do, so that a call is still open when they go on.
  mAnswers[run] =
      mLoop.AfterRunning(mOptions.mDelay, [this, run, aExchange, answer] {
        // The timer runs a copy of this callback, so erasing the timer here is
        // safe.
        mAnswers.erase(run);
        ReplyJson(*aExchange, kHttpOk, answer);
      });
}

}  // namespace spindleweir
