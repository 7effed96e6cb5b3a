/// A period of some seconds in which an upstream of a soak asks for less load:
/// it advertises a limit, or rejects all requests and asks for a back-off.
/// Checks that routers complied.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "spindleweir/drivers/http_message.h"
#include "tests/platform/soak/soak_record.h"

namespace spindleweir {

enum class ReductionKind { kLimit, kBackoff };

/// One such period of one incarnation. Times are wall clock microseconds.
class SoakLoadReduction {
 public:
  SoakLoadReduction(ReductionKind aKind, std::string aInstance,
                    std::int64_t aNow);

  /// Returns whether the period still lasts.
  bool IsActive(std::int64_t aNow) const;
  /// Records a request from a router. Returns the headers for its answer.
  HttpHeaders OnRequest(const std::string& aRouter, std::int64_t aNow);
  bool Rejects(std::int64_t aNow) const;
  /// Records the end of the incarnation.
  void End(std::int64_t aNow) { mEndedAt = aNow; }
  /// Prints each case in which more requests came than allowed; returns the
  /// number of cases. Requests don't count if a fault hit their router later
  /// than one second before its notice or rejection.
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
  std::int64_t mEndedAt = 0;  ///< 0: it hasn't ended.
  std::vector<Arrival> mArrivals;
  std::map<std::string, std::int64_t>
      mNotifiedAt;  ///< First notice, by router.
};

}  // namespace spindleweir
