/// Calls the operators' interface and waits for the answer.
#pragma once

#include <json/value.h>

#include <string>
#include <vector>

#include "spindleweir/core/settings.h"

namespace spindleweir {

/// One answer.
struct CtlAnswer {
  int mStatus = 0;  ///< 0: no control process could be reached.
  Json::Value mBody;
};

/// Tries the control processes in turn and follows them to their leader.
class CtlClient {
 public:
  CtlClient(std::vector<Endpoint> aControls, std::string aKey, int aTimeout);

  /// aBody: null for none. A command carries its command id, so that trying
  /// again cannot do it twice.
  CtlAnswer Call(const std::string& aMethod, const std::string& aPath,
                 const Json::Value& aBody);

 private:
  std::vector<Endpoint> mControls;
  std::string mKey;
  int mTimeoutMillis;
};

}  // namespace spindleweir
