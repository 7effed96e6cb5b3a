/// Counts the routers that report to any control process, each of them once.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// A router's name as a short number, so that lists of them are small. Two of
/// 1,000 routers share one with a probability of 0.0001 and then count once.
std::int64_t RouterNumber(std::string_view aRouter);

/// Router numbers, sorted.
using RouterNumbers = std::vector<std::int64_t>;

/// Identifies a list of routers by its content; 0: an empty one.
std::int64_t RouterListTag(const RouterNumbers& aRouters);

/// The routers that report to this control process and to each of the others. A
/// router that leaves one control for another is in the lists of both for a
/// while: of a control that stopped answering, the last list is kept, since
/// beyond a cut its routers may still run. Takes the time with each call.
class RouterCensus {
 public:
  /// aRetention: how long the list of another control counts without contact.
  explicit RouterCensus(Millis aRetention) : mRetention(aRetention) {}

  /// Sets the routers that report here.
  void SetLocal(RouterNumbers aRouters);
  /// Another control was in contact and told how many routers report to it.
  void OnContact(const std::string& aControl, int aCount, Millis aNow);
  /// Another control told which routers these are. If their number is not the
  /// one of the last contact, as with controls of earlier versions, which send
  /// no list, the number counts.
  void OnList(const std::string& aControl, RouterNumbers aRouters);
  /// The tag of the list that is held of a control; 0: none.
  std::int64_t TagOf(const std::string& aControl) const;
  /// The number of routers in all lists.
  int Total(Millis aNow);

 private:
  struct Control {
    int mCount = 0;
    RouterNumbers mRouters;
    Millis mSeenAt = 0;
  };

  int CountAll() const;

  Millis mRetention;
  RouterNumbers mLocal;
  std::map<std::string, Control> mControls;  ///< By address.
  int mTotal = 0;                            ///< Valid unless mIsStale.
  bool mIsStale = true;
};

}  // namespace spindleweir
