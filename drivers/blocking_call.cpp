#include "spindleweir/drivers/blocking_call.h"

namespace spindleweir {

HttpResult CallAndWait(HttpCallOptions aOptions) {
  EventLoop loop;
  HttpClient client(loop);
  HttpResult result;
  aOptions.mOnDone = [&](const HttpResult& aResult) {
    result = aResult;
    loop.Stop();
  };
  const auto call = client.Start(std::move(aOptions));
  loop.Run();
  return result;
}

}  // namespace spindleweir
