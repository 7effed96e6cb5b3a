/// The seam between the product and a platform's manner of speaking: typed
/// facts on one side, names and formats on the other. An implementation
/// translates and decides nothing.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "spindleweir/core/result_code.h"
#include "spindleweir/drivers/http_message.h"
#include "spindleweir/servers/membership/upstream_registry.h"
#include "spindleweir/servers/routes/traffic_configuration.h"
#include "spindleweir/servers/routing/layer_path.h"

namespace spindleweir {

/// What a caller's request says of itself.
struct RequestFacts {
  std::string mId;
  std::string mHost;
  std::string mKey;      ///< Empty: none was shown.
  Millis mDeadline = 0;  ///< Milliseconds the caller waits; 0: not said.
  std::string mModel;
  double mPromptTokens = 0;
  double mMaxTokens = 0;                   ///< That may be generated.
  double mExpectedTokens = 0;              ///< By the caller's guess; 0: none.
  std::optional<std::int64_t> mLastEvent;  ///< Goes on after this event.
};

/// How a request is sent to an upstream.
struct DispatchFacts {
  Millis mRemaining = 0;                   ///< Until the caller's deadline.
  std::string mInstance;                   ///< No other incarnation may run it.
  std::string mWorkspace;                  ///< Empty: none.
  const LayerPath* mPath = nullptr;        ///< For engines.
  std::optional<std::int64_t> mLastEvent;  ///< Goes on after this event.
  int mPriority = -1;                      ///< 0 to 9; -1: not said.
};

/// What an upstream's answer says of how often it may be asked.
struct LimitNotice {
  /// False: it says something that cannot be read.
  bool mClear = true;
  /// Requests a second that it takes from all routers together; none: as many
  /// as there are.
  std::optional<double> mPerSecond;

  bool operator==(const LimitNotice&) const = default;
};

/// What an upstream's answer says beside its body.
struct AnswerFacts {
  Ran mRan = Ran::kUnknown;
  bool mOurs = true;        ///< It belongs to this request.
  bool mSigned = false;     ///< It carries the upstream's signature.
  bool mIsStream = false;   ///< Its body is a stream of events.
  bool mIsEncoded = false;  ///< Its body was changed on the way.
  std::string mCulprit;     ///< Address of the upstream that refused.
  LimitNotice mLimit;
  /// It turned the request away, and wants nothing from this process for so
  /// long; 0: not said.
  Millis mBackoff = 0;
  bool mLeaves = false;  ///< Its upstream takes no new work any more.
};

/// Callers' requests and upstreams' answers.
struct CallerProtocol {
  /// Throws an Error that is answered as it says.
  std::function<RequestFacts(const RequestHead&)> mReadRequest;
  std::function<HttpHeaders(const RequestHead&, const DispatchFacts&)>
      mWriteRequest;
  std::function<AnswerFacts(const AnswerHead&, const RequestFacts&)>
      mReadAnswer;
  std::function<HttpHeaders(const AnswerHead&)> mWriteAnswer;
  /// Headers of an answer of our own; aRetryAfter in milliseconds, -1: none.
  std::function<HttpHeaders(const std::string& aRequestId, Millis aRetryAfter)>
      mWriteRefusal;
};

/// A message to an engine.
struct EngineMessage {
  std::string mMethod;
  std::string mTarget;
  HttpHeaders mHeaders;
  std::string mBody;
};

/// An order to hold layers.
struct PlaceOrder {
  LayerRange mLayers;
  std::int64_t mFence = 0;
  std::optional<std::int64_t> mExpectedOrders;  ///< Taken by it so far.
  bool mCutsOff = false;  ///< Does not wait for what passes the old layers.
};

/// An order to move a running request to another path.
struct RepathOrder {
  std::string mRequestId;
  const LayerPath* mPath = nullptr;
  std::int64_t mFence = 0;
};

/// A request that stands still, as its first engine reports.
struct StalledRequest {
  std::string mRequestId;
  std::string mAddress;  ///< Of the engine it waits for.
};

/// What an engine reports of itself.
struct EngineState {
  std::int64_t mStart = 0;  ///< See UpstreamRecord.
  LayerRange mLayers;
  bool mBusy = false;        ///< An order is under way.
  std::int64_t mOrders = 0;  ///< Taken so far.
  double mSlowdown = 1;      ///< Over 1: it is slow.
  int mWaiting = 0;
  int mRunning = 0;
  double mUsed = 0;   ///< Tokens x layers.
  double mTotal = 0;  ///< Tokens x layers.
  std::vector<StalledRequest> mStalled;
};

/// Orders to engines and their reports.
struct EngineProtocol {
  std::function<EngineMessage(const PlaceOrder&)> mWritePlace;
  std::function<EngineMessage(const RepathOrder&)> mWriteRepath;
  std::function<EngineMessage()> mWriteStateRequest;
  /// Throws kMalformedJson or kBadField.
  std::function<EngineState(std::string_view)> mReadState;
};

/// Configurations as operators write them.
struct DocumentProtocol {
  /// Throws kMalformedJson, kBadField or kBadConfiguration.
  std::function<TrafficConfiguration(std::string_view)> mRead;
};

}  // namespace spindleweir
