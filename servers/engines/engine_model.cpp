#include "spindleweir/servers/engines/engine_model.h"

#include <algorithm>

namespace spindleweir {

namespace {

constexpr double kBytesPerMb = 1e6;
constexpr double kMillisPerSecond = 1000;
constexpr double kTokensPerContext = 1000;
constexpr double kPairsPerUnit = 1e6;
constexpr double kBitsPerByte = 8;
constexpr double kBitsPerMbit = 1e6;
/// Delay between two engines of a zone, one way.
constexpr double kSameZoneDelay = 0.2;

}  // namespace

int EngineModel::MaxLayers() const {
  return mProfile.mLayerMb <= 0
             ? mProfile.mLayers
             : std::min(mProfile.mLayers,
                        static_cast<int>(mKind.mMemoryMb / mProfile.mLayerMb));
}

double EngineModel::RequestCapacity(int aLayers) const {
  const double bytes =
      (mKind.mMemoryMb - aLayers * mProfile.mLayerMb) * kBytesPerMb;
  const double bytesPerTokenLayer =
      mProfile.mTokenBytes / std::max(1, mProfile.mLayers);
  return bytesPerTokenLayer <= 0 ? 0
                                 : std::max(0.0, bytes / bytesPerTokenLayer);
}

int EngineModel::MaxLayersForTokens(double aTokens) const {
  const double bytesPerTokenLayer =
      mProfile.mTokenBytes / std::max(1, mProfile.mLayers);
  const double layerMb =
      mProfile.mLayerMb + aTokens * bytesPerTokenLayer / kBytesPerMb;
  const double maxLayers =
      layerMb <= 0 ? mProfile.mLayers : mKind.mMemoryMb / layerMb;
  return std::min(MaxLayers(), static_cast<int>(maxLayers));
}

double EngineModel::LayerShare(int aLayers) const {
  return static_cast<double>(aLayers) / std::max(1, mProfile.mLayers);
}

double EngineModel::StepMillis(int aLayers, const StageLoad& aLoad) const {
  const double allLayersMillis =
      mProfile.mStepMillis + aLoad.mDecodingRequests * mProfile.mRequestMillis +
      aLoad.mContextTokens / kTokensPerContext * mProfile.mContextMillis;
  return LayerShare(aLayers) * mKind.mStepFactor * allLayersMillis;
}

double EngineModel::PrefillMillis(int aLayers, double aTokens) const {
  const double linear =
      mProfile.mPromptTokensPerSecond <= 0
          ? 0
          : aTokens / mProfile.mPromptTokensPerSecond * kMillisPerSecond;
  const double quadratic =
      aTokens * aTokens / 2 / kPairsPerUnit * mProfile.mPairMillis;
  return LayerShare(aLayers) * mKind.mPromptFactor * (linear + quadratic);
}

double EngineModel::LoadMillis(int aLayers) const {
  return LayerShare(aLayers) * mProfile.mLoadSeconds * kMillisPerSecond;
}

double HopMillis(const EngineProfile& aProfile, bool aOtherZone) {
  const double mbps =
      aOtherZone ? aProfile.mInterZoneMbps : aProfile.mIntraZoneMbps;
  const double delay = aOtherZone ? aProfile.mZoneDelayMillis : kSameZoneDelay;
  const double bits = aProfile.mActivationBytes * kBitsPerByte;
  return delay +
         (mbps <= 0 ? 0 : bits / (mbps * kBitsPerMbit) * kMillisPerSecond);
}

}  // namespace spindleweir
