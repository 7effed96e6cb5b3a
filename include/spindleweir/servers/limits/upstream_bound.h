/// Decides whether one more request may be sent to an upstream of a plain
/// service to which many routers send, each of which learns of the others'
/// requests late.
#pragma once

#include <cstddef>
#include <cstdint>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// The load of one upstream, as one router knows it.
struct UpstreamOccupancy {
  int mSlots = 0;          ///< Requests that it runs at once; 0: not stated.
  double mLocal = 0;       ///< Requests of this router in progress there.
  double mPeers = 0;       ///< Those of all other routers, as reported.
  double mLocalBytes = 0;  ///< Bytes of the local requests' bodies.
  double mBodyBytes = 0;   ///< Bytes of the body that is to be sent.
  int mRouters = 1;        ///< Number of routers that send to it.
  /// Requests per millisecond that this router sends to it.
  double mLocalRate = 0;
  /// Typical duration of a request there. It always has a value: with the age
  /// of the peers' report in its place, routers refused the first requests,
  /// whose answers would have shown the duration.
  Millis mTypicalTime = 0;
  Millis mPeerReportAge = 0;  ///< Age of mPeers.
};

/// The capacity of an upstream.
struct UpstreamBoundOptions {
  /// Requests that an upstream queues beside those that it runs, per slot. If
  /// it has more, it refuses them itself.
  double mQueuePerSlot = 1;
  int mMinQueue = 4;
  /// Bytes of request bodies that it holds at once; 0: unlimited.
  double mBodyBytes = 0;
};

/// Estimates the requests that other routers sent since their last report and
/// that are still in progress, from this router's own rate.
double UnreportedRequests(const UpstreamOccupancy& aOccupancy);

/// Whether the request may be sent. Half of the capacity is divided evenly:
/// each router may use its part whatever it knows, so this half holds however
/// late reports are. Beyond its part, a router sends as long as the reported
/// requests and the estimate of unreported ones leave room.
bool MaySendTo(const UpstreamOccupancy& aOccupancy,
               const UpstreamBoundOptions& aOptions);

}  // namespace spindleweir
