/// Which control a router asks for retry credits next.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "spindleweir/core/clock.h"
#include "spindleweir/core/settings.h"

namespace spindleweir {

/// The controls that may be asked now. Each control has a share of its own, so
/// that a router which needs more than one share asks the others in turn. One
/// that granted less than wanted is left alone for a time that doubles while
/// this goes on: at 520 routers the requests of all must stay few.
class CreditSources {
 public:
  /// The next control; none: all were asked a short time ago. aNearest is
  /// preferred, which keeps most requests within a zone; the others are drawn
  /// by chance, so that routers don't empty the shares in the same order.
  std::optional<Endpoint> Next(const Endpoint& aNearest,
                               std::vector<Endpoint> aControls, Millis aNow,
                               const std::function<double()>& aRandom) const;
  /// A control answered, or didn't: aGranted is 0 then.
  void OnAnswer(const Endpoint& aControl, int aWanted, int aGranted,
                Millis aNow);

 private:
  struct Backoff {
    Millis mUntil = 0;
    Millis mLength = 0;
  };

  std::map<std::string, Backoff> mBackoffs;  ///< By address.
};

}  // namespace spindleweir
