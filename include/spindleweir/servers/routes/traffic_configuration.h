/// The traffic configuration: routes, services, workspaces with their keys, and
/// limits. It is published with a version, apart from intents and plans.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// How requests of a route are answered, and whether they may run twice.
enum class RouteKind {
  kSafe,    ///< May run more than once.
  kUnsafe,  ///< Runs at most once.
  kStream,  ///< Answered by a stream of events.
};

/// A service that receives a weighted share of a route's requests.
struct RouteTarget {
  std::string mService;
  double mWeight = 1;

  bool operator==(const RouteTarget&) const = default;
  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("service", mService);
    aCodec.Required("weight", mWeight);
  }
};

/// The requests that a route matches; unique in a configuration.
struct RoutePattern {
  std::string mHost;
  std::string mPrefix;

  bool operator==(const RoutePattern&) const = default;
  bool operator<(const RoutePattern& aOther) const {
    return std::tie(mHost, mPrefix) < std::tie(aOther.mHost, aOther.mPrefix);
  }
  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("host", mHost);
    aCodec.Required("prefix", mPrefix);
  }
};

/// A route: which requests it matches, their services, time limits and retries.
struct TrafficRoute {
  std::string mName;
  std::string mHost;
  std::string mPrefix;  ///< Begins and ends with a slash.
  RouteKind mKind = RouteKind::kUnsafe;
  Millis mTimeout = 0;        ///< Time limit of a request.
  Millis mTargetLatency = 0;  ///< Until the answer, or a stream's first event.
  Millis mTargetGap = 0;      ///< Between events of a stream; 0: no target.
  int mPriority = 0;          ///< 0 is the most urgent.
  int mMaxAttempts = 1;       ///< Upstreams that one request may be sent to.
  bool mPublic = false;       ///< Callers need no key.
  bool mResumable = false;    ///< A stream may continue on another upstream.
  std::vector<RouteTarget> mTargets;

  RoutePattern Pattern() const { return {mHost, mPrefix}; }
  bool operator==(const TrafficRoute&) const = default;
  /// Whether a request may run more than once.
  bool Repeatable() const {
    return mKind == RouteKind::kSafe ||
           (mKind == RouteKind::kStream && mResumable);
  }

  template <class Codec>
  void Fields(Codec& aCodec) {
    int kind = static_cast<int>(mKind);
    aCodec.Required("name", mName);
    aCodec.Required("host", mHost);
    aCodec.Required("prefix", mPrefix);
    aCodec.Required("kind", kind);
    mKind = static_cast<RouteKind>(kind);
    aCodec.Field("timeout_ms", mTimeout);
    aCodec.Field("target_ms", mTargetLatency);
    aCodec.Field("pause_ms", mTargetGap);
    aCodec.Field("priority", mPriority);
    aCodec.Field("attempts", mMaxAttempts);
    aCodec.Field("open", mPublic);
    aCodec.Field("resumable", mResumable);
    aCodec.Field("targets", mTargets);
  }
};

/// A kind of accelerator. The factors multiply the times of EngineProfile.
struct AcceleratorKind {
  std::string mName;
  double mMemoryMb = 0;
  double mStepFactor = 1;    ///< Of decoding steps.
  double mPromptFactor = 1;  ///< Of prompt processing.

  bool operator==(const AcceleratorKind&) const = default;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("name", mName);
    aCodec.Required("memory_mb", mMemoryMb);
    aCodec.Field("step_factor", mStepFactor);
    aCodec.Field("read_factor", mPromptFactor);
  }
};

/// The performance model of a service's engines; mLayers 0: a plain service.
/// Times are for all layers of the model.
struct EngineProfile {
  int mLayers = 0;
  double mLayerMb = 0;
  int mSlots = 0;               ///< Concurrent requests at the first stage.
  double mTokenBytes = 0;       ///< Memory per context token, all layers.
  double mCapacityTokens = 0;   ///< Context tokens to plan memory for.
  double mActivationBytes = 0;  ///< Sent to the next stage per token.
  double mIntraZoneMbps = 0;    ///< Bandwidth within a zone.
  double mInterZoneMbps = 0;    ///< Bandwidth between zones, shared.
  int mStride = 1;              ///< Steps per pass while requests decode.
  double mStepMillis = 0;       ///< Base time of a decoding step.
  double mRequestMillis = 0;    ///< Per decoding request and step.
  double mContextMillis = 0;    ///< Per 1,000 context tokens and step.
  double mPromptTokensPerSecond = 0;  ///< Prompt processing.
  double mPairMillis = 0;             ///< Per million pairs of prompt tokens.
  int mPromptChunkTokens = 512;  ///< Maximum prompt tokens processed in a step.
  double mLoadSeconds = 0;       ///< Loads all layers from the weights store.
  int mLoadsAtOnce = 1;
  double mTypicalPromptTokens = 0;
  double mTypicalAnswerTokens = 0;
  double mZoneDelayMillis = 0;  ///< One-way delay between zones.
  std::vector<AcceleratorKind> mKinds;

  const AcceleratorKind* FindKind(const std::string& aName) const;
  bool operator==(const EngineProfile&) const = default;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Field("layers", mLayers);
    aCodec.Field("layer_mb", mLayerMb);
    aCodec.Field("slots", mSlots);
    aCodec.Field("token_bytes", mTokenBytes);
    aCodec.Field("capacity_tokens", mCapacityTokens);
    aCodec.Field("activation_bytes", mActivationBytes);
    aCodec.Field("link_mbps", mIntraZoneMbps);
    aCodec.Field("pipe_mbps", mInterZoneMbps);
    aCodec.Field("stride", mStride);
    aCodec.Field("step_ms", mStepMillis);
    aCodec.Field("request_ms", mRequestMillis);
    aCodec.Field("context_ms", mContextMillis);
    aCodec.Field("read_per_s", mPromptTokensPerSecond);
    aCodec.Field("pair_ms", mPairMillis);
    aCodec.Field("chunk", mPromptChunkTokens);
    aCodec.Field("load_s", mLoadSeconds);
    aCodec.Field("loads_at_once", mLoadsAtOnce);
    aCodec.Field("usual_prompt", mTypicalPromptTokens);
    aCodec.Field("usual_answer", mTypicalAnswerTokens);
    aCodec.Field("zone_delay_ms", mZoneDelayMillis);
    aCodec.Field("kinds", mKinds);
  }
};

/// A service: a set of interchangeable upstreams.
struct TrafficService {
  std::string mName;
  std::string mHealthPath;
  int mMaximumConnections = 0;
  EngineProfile mEngine;

  bool IsEngine() const { return mEngine.mLayers > 0; }
  bool operator==(const TrafficService&) const = default;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("name", mName);
    aCodec.Field("health_path", mHealthPath);
    aCodec.Field("connections", mMaximumConnections);
    aCodec.Field("engine", mEngine);
  }
};

/// A workspace and the keys of its callers.
struct TrafficWorkspace {
  std::string mName;
  std::vector<std::string> mKeys;
  int mPriority = -1;  ///< Overrides that of the route; -1: none.

  bool operator==(const TrafficWorkspace&) const = default;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("name", mName);
    aCodec.Field("keys", mKeys);
    aCodec.Field("priority", mPriority);
  }
};

/// Limits on the requests of callers; 0: the program's default.
struct TrafficLimits {
  std::int64_t mHeaderBytes = 0;
  std::int64_t mBodyBytes = 0;
  Millis mHeaderTimeout = 0;
  Millis mIdleTimeout = 0;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Field("header_bytes", mHeaderBytes);
    aCodec.Field("body_bytes", mBodyBytes);
    aCodec.Field("header_timeout_ms", mHeaderTimeout);
    aCodec.Field("idle_timeout_ms", mIdleTimeout);
  }
};

/// One accepted version of the traffic configuration.
struct TrafficConfiguration {
  std::int64_t mVersion = 0;  ///< 0: none was accepted yet.
  std::vector<TrafficRoute> mRoutes;
  std::vector<TrafficService> mServices;
  std::vector<TrafficWorkspace> mWorkspaces;
  /// Whether the operator stated a list of workspaces, also if it is empty:
  /// no key is valid then, whereas without a list callers need none. Processes
  /// that don't send this field send an empty list for both.
  bool mStatesWorkspaces = false;
  TrafficLimits mLimits;

  const TrafficService* FindService(const std::string& aName) const;
  /// Whether callers need a key on routes that are not public.
  bool NeedsKeys() const { return mStatesWorkspaces || !mWorkspaces.empty(); }

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("version", mVersion);
    aCodec.Field("routes", mRoutes);
    aCodec.Field("services", mServices);
    aCodec.Field("workspaces", mWorkspaces);
    aCodec.Field("states_workspaces", mStatesWorkspaces);
    aCodec.Field("limits", mLimits);
  }
};

/// A host as routes match it: without its port, in lower case.
std::string NormalizedHost(std::string_view aHost);

/// Throws kBadConfiguration naming the first error: for example a route to an
/// unknown service, two routes with one host and prefix, weights that add up to
/// 0, a timeout of 0, or a key that two workspaces share.
void CheckTrafficConfiguration(const TrafficConfiguration& aConfiguration);

}  // namespace spindleweir
