/// An upstream of a soak that asks for less for some seconds: it names a limit,
/// or turns all requests away and asks for rest; and whether it got that.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "spindleweir/drivers/http_message.h"
#include "tests/platform/soak/soak_record.h"

namespace spindleweir {

enum class ReductionKind { kLimit, kBackoff };

/// One such time of one incarnation. Times are wall microseconds.
class SoakLoadReduction {
 public:
  SoakLoadReduction(ReductionKind aKind, std::string aInstance,
                    std::int64_t aNow);

  /// Whether it still asks for it.
  bool IsActive(std::int64_t aNow) const;
  /// A request of a router came. Returns what its answer says of the need.
  HttpHeaders OnRequest(const std::string& aRouter, std::int64_t aNow);
  bool Rejects(std::int64_t aNow) const;
  /// The incarnation has ended.
  void End(std::int64_t aNow) { mEndedAt = aNow; }
  /// Prints what got more than was rejected for; returns how often. What a
  /// router sent from just before something was done to it on is excused.
  int CountViolations(const std::vector<SoakFault>& aFaults) const;

 private:
  struct Arrival {
    std::int64_t mAt = 0;
    std::string mRouter;
  };

  int CountLimitViolations(const std::vector<SoakFault>& aFaults) const;
  int CountBackoffViolations(const std::vector<SoakFault>& aFaults) const;

  ReductionKind mKind;
  std::string mInstance;
  std::int64_t mFrom;
  std::int64_t mEndedAt = 0;  ///< 0: it has not.
  std::vector<Arrival> mArrivals;
  std::map<std::string, std::int64_t> mNotifiedAt;  ///< Routers, first.
};

}  // namespace spindleweir
