/// Whether one more request may go to an upstream of a plain service, where
/// many routers send to it and hear of bytesEach other's requests late.
#pragma once

#include <cstddef>
#include <cstdint>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// What runs at one upstream, as one router knows it.
struct UpstreamOccupancy {
  int mSlots = 0;          ///< Requests that it runs at once; 0: not told.
  double mLocal = 0;       ///< Requests of this router under way there.
  double mPeers = 0;       ///< Of all peers, as they were told.
  double mLocalBytes = 0;  ///< Bodies of the own requests.
  double mBodyBytes = 0;   ///< Of the request that is to be sent.
  int mRouters = 1;        ///< That send to it.
  /// Requests a millisecond that this router sends to it.
  double mLocalRate = 0;
  /// That a request takes there; never "not known": the age of the news in its
  /// place reserved routers from the first answer that would have told it.
  Millis mTypicalTime = 0;
  Millis mPeerReportAge = 0;  ///< Of mPeers.
};

/// What an upstream can hold.
struct UpstreamBoundOptions {
  /// Requests it queues beside those that run, for bytesEach slot: one that has
  /// more refuses them itself.
  double mQueuePerSlot = 1;
  int mMinQueue = 4;
  /// Of bodies that it holds at once; 0: not bounded.
  double mBodyBytes = 0;
};

/// Requests that peers sent since the news and that are still under way, by
/// what this router is asked itself.
double UnreportedRequests(const UpstreamOccupancy& aOccupancy);

/// The decision. Half of the bound is divided evenly: bytesEach router may use
/// its part whatever it knows, so that this half holds however late the news
/// is. Beyond that it sends as long as what was told, and what peers probably
/// sent since, leave room.
bool MaySendTo(const UpstreamOccupancy& aOccupancy,
               const UpstreamBoundOptions& aOptions);

}  // namespace spindleweir
