/// What an engine says of itself.
#pragma once

#include <cstdint>
#include <string>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// One engine's report, as its adapter reads it.
struct EngineReport {
  std::string mEngine;  ///< The VM's name.
  std::string mZone;
  std::string mAccelerator;
  int mMemoryLayers = 0;    ///< How many layers fit.
  double mLayerMicros = 0;  ///< Microseconds a layer and step.
  int mBatch = 1;           ///< Tokens a step at most.
  std::string mModel;       ///< Empty: nothing loaded.
  std::string mVersion;
  int mFirst = 0;
  int mLast = 0;
  bool mLoading = false;
  int mQueue = 0;          ///< Streams that it holds.
  double mStepMillis = 0;  ///< Measured time of a step; 0: none yet.
  bool mLeaving = false;
  std::int64_t mIncarnation = 0;  ///< Grows with each start.
  std::int64_t mEpoch = 0;        ///< The greatest order epoch it has seen.

  /// Tokens a second that it can do with aLayers layers.
  double TokensPerSecond(int aLayers) const {
    constexpr double kMicrosPerSecond = 1e6;
    const double micros = mLayerMicros * aLayers;
    return micros > 0 ? kMicrosPerSecond * mBatch / micros : 0;
  }

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("engine", mEngine);
    aCodec.Required("zone", mZone);
    aCodec.Field("accelerator", mAccelerator);
    aCodec.Field("memory_layers", mMemoryLayers);
    aCodec.Field("layer_micros", mLayerMicros);
    aCodec.Field("batch", mBatch);
    aCodec.Field("model", mModel);
    aCodec.Field("version", mVersion);
    aCodec.Field("first", mFirst);
    aCodec.Field("last", mLast);
    aCodec.Field("loading", mLoading);
    aCodec.Field("queue", mQueue);
    aCodec.Field("step_ms", mStepMillis);
    aCodec.Field("leaving", mLeaving);
    aCodec.Field("incarnation", mIncarnation);
    aCodec.Field("epoch", mEpoch);
  }
};

}  // namespace spindleweir
