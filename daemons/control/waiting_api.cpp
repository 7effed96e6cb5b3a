#include "daemons/control/waiting_api.h"

#include "spindleweir/daemons/answers.h"

namespace spindleweir {

namespace {

constexpr int kHttpOk = 200;

}  // namespace

void AnswerWhileWaiting(HttpExchange& aExchange, const Counters& aCounters) {
  if (aExchange.Path() == "/healthz") {
    aExchange.Reply(kHttpOk, "text/plain", "ok\n");
    return;
  }
  if (aExchange.Path() == "/metrics") {
    aExchange.Reply(kHttpOk, "text/plain; version=0.0.4", aCounters.Text());
    return;
  }
  ReplyError(aExchange,
             {.mCode = ResultCode::kStorageFailed,
              .mMessage = "this control waits for its disk; nothing was done"});
}

}  // namespace spindleweir
