/// The state that an engine reports.
#pragma once

#include <cstdint>
#include <string>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// One engine's report, as its adapter parses it.
struct EngineReport {
  std::string mEngine;  ///< The VM's name.
  std::string mZone;
  std::string mAccelerator;
  int mMemoryLayers = 0;    ///< Layers that fit into its memory.
  double mLayerMicros = 0;  ///< Microseconds per layer and step.
  int mBatch = 1;           ///< Maximum tokens per step.
  std::string mModel;       ///< Empty: no weights loaded.
  std::string mVersion;
  int mFirst = 0;  ///< First layer that it holds.
  int mLast = 0;   ///< One past the last layer.
  bool mLoading = false;
  int mQueue = 0;          ///< Streams in the engine.
  double mStepMillis = 0;  ///< Measured step time; 0: no step yet.
  bool mLeaving = false;
  std::int64_t mIncarnation = 0;  ///< Increases with each start.
  std::int64_t mEpoch = 0;        ///< The greatest order epoch received.

  /// Tokens per second that the engine can process with aLayers layers.
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
