#include "daemons/engine_call.h"

namespace spindleweir {

StreamCallOptions MakeEngineCall(EngineMessage aMessage,
                                 const std::string& aAddress, Millis aTimeout) {
  StreamCallOptions options;
  options.mServer = ParseEndpoint(aAddress, "address of an upstream");
  options.mMethod = std::move(aMessage.mMethod);
  options.mTarget = std::move(aMessage.mTarget);
  options.mHeaders = std::move(aMessage.mHeaders);
  options.mBody = std::move(aMessage.mBody);
  options.mTimeout = aTimeout;
  return options;
}

}  // namespace spindleweir
