/// Client of control's interface for operators.
#pragma once

#include <json/value.h>

#include <string>
#include <vector>

#include "spindleweir/core/settings.h"

namespace spindleweir {

/// Answer of a control process.
struct CtlAnswer {
  int mStatus = 0;  ///< 0: no control process could be reached.
  Json::Value mBody;
};

/// Tries the control processes in turn and follows redirects to their leader.
class CtlClient {
 public:
  CtlClient(std::vector<Endpoint> aControls, std::string aKey,
            int aTimeoutMillis);

  /// Waits for the answer. aBody: null for none. A command carries its command
  /// id, so that a retry cannot execute it twice.
  CtlAnswer Call(const std::string& aMethod, const std::string& aPath,
                 const Json::Value& aBody);

 private:
  std::vector<Endpoint> mControls;
  std::string mKey;
  int mTimeoutMillis;
};

}  // namespace spindleweir
