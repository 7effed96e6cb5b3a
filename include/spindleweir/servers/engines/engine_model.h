/// What an engine that holds a range of layers can do and how long it takes:
/// the one model for choosing paths, admission and placement. Times are in
/// milliseconds; memory counts tokens times layers.
#pragma once

#include "spindleweir/servers/routes/traffic_configuration.h"

namespace spindleweir {

/// The work that a stage has at a time.
struct StageLoad {
  double mDecodingRequests = 0;  ///< Requests that write.
  double mContextTokens = 0;     ///< Tokens of all writers together.
};

/// One kind of accelerator of one service.
class EngineModel {
 public:
  EngineModel(const EngineProfile& aProfile, const AcceleratorKind& aKind)
      : mProfile(aProfile), mKind(aKind) {}

  /// The most layers that fit.
  int MaxLayers() const;
  /// Room for requests beside aLayers layers, in tokens x layers.
  double RequestCapacity(int aLayers) const;
  /// The most layers beside which so many tokens have room.
  int MaxLayersForTokens(double aTokens) const;
  /// One step of all writers through aLayers layers.
  double StepMillis(int aLayers, const StageLoad& aLoad) const;
  /// Reading a prompt through aLayers layers.
  double PrefillMillis(int aLayers, double aTokens) const;
  /// Loading aLayers layers while no other engine loads.
  double LoadMillis(int aLayers) const;

 private:
  double Share(int aLayers) const;

  const EngineProfile& mProfile;
  const AcceleratorKind& mKind;
};

/// Milliseconds that a token takes from one engine to the next.
double HopMillis(const EngineProfile& aProfile, bool aOtherZone);

}  // namespace spindleweir
