/// Capacity and timing of an engine that holds a range of layers. Path choice,
/// admission and placement use this model. Times are in milliseconds; request
/// memory is in tokens x layers.
#pragma once

#include "spindleweir/servers/routes/traffic_configuration.h"

namespace spindleweir {

/// The concurrent work of a stage.
struct StageLoad {
  double mDecodingRequests = 0;  ///< Requests that generate tokens.
  double mContextTokens = 0;     ///< Tokens of all these together.
};

/// Model of one accelerator kind of a service.
class EngineModel {
 public:
  EngineModel(const EngineProfile& aProfile, const AcceleratorKind& aKind)
      : mProfile(aProfile), mKind(aKind) {}

  /// Maximum number of layers that fit into the memory.
  int MaxLayers() const;
  /// Memory for requests beside the weights of aLayers layers, in tokens x
  /// layers.
  double RequestCapacity(int aLayers) const;
  /// Maximum number of layers that leave memory for aTokens tokens.
  int MaxLayersForTokens(double aTokens) const;
  /// Time of one decoding step of all requests through aLayers layers.
  double StepMillis(int aLayers, const StageLoad& aLoad) const;
  /// Time to prefill a prompt of aTokens tokens through aLayers layers.
  double PrefillMillis(int aLayers, double aTokens) const;
  /// Time to load aLayers layers while no other engine loads.
  double LoadMillis(int aLayers) const;

 private:
  /// The share of all layers that aLayers layers are.
  double LayerShare(int aLayers) const;

  const EngineProfile& mProfile;
  const AcceleratorKind& mKind;
};

/// Milliseconds to transfer a token's activations from one engine to the next.
double HopMillis(const EngineProfile& aProfile, bool aOtherZone);

}  // namespace spindleweir
