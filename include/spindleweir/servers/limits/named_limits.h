/// Limits that upstreams name in their answers: so many requests a second from
/// all routers together, for as long as the answers say so.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// What one router knows of them. Decisions only: the time comes with each
/// call.
class NamedLimits {
 public:
  /// An answer of an upstream came, to an attempt begun at aBegunAt. It named
  /// this limit, in requests a second, or none. Returns whether that is news.
  bool Answered(const std::string& aInstance, std::optional<double> aPerSecond,
                Millis aBegunAt, Millis aNow);
  /// Another incarnation, or nobody, is there now.
  void Forget(const std::string& aInstance) { mLimits.erase(aInstance); }

  /// The limit that holds; none: there is none.
  std::optional<double> Of(const std::string& aInstance) const;

 private:
  struct Limit {
    double mPerSecond = 0;
    Millis mNamedAt = 0;  ///< Last.
  };

  std::map<std::string, Limit> mLimits;  ///< By instance.
};

}  // namespace spindleweir
