/// The interface between the product and a platform's protocols: typed values
/// on one side, field names and formats on the other. An implementation only
/// translates; it makes no decisions.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "spindleweir/core/result_code.h"
#include "spindleweir/drivers/http_message.h"
#include "spindleweir/servers/membership/upstream_registry.h"
#include "spindleweir/servers/routes/traffic_configuration.h"
#include "spindleweir/servers/routing/layer_path.h"

namespace spindleweir {

/// Properties of a caller's request, read from its head.
struct RequestFacts {
  std::string mId;
  std::string mHost;
  std::string mKey;      ///< Empty: the request has none.
  Millis mDeadline = 0;  ///< Time the caller waits; 0: not given.
  std::string mModel;
  double mPromptTokens = 0;
  double mMaxTokens = 0;       ///< Max. generated tokens; 0: not given.
  double mExpectedTokens = 0;  ///< The caller's estimate; 0: none.
  std::optional<std::int64_t> mLastEvent;  ///< Resumes after this event.
  /// Ids of the parts of its prompt that other requests may share.
  std::vector<std::string> mSharedParts;
};

/// Properties of a request that is sent to an upstream.
struct DispatchFacts {
  Millis mRemaining = 0;                   ///< Until the caller's deadline.
  std::string mInstance;                   ///< Only this instance may run it.
  std::string mWorkspace;                  ///< Empty: none.
  const LayerPath* mPath = nullptr;        ///< For engines.
  std::optional<std::int64_t> mLastEvent;  ///< Resumes after this event.
  int mPriority = -1;                      ///< 0 to 9; -1: not given.
};

/// The request rate that an upstream's answer advertises as its limit.
struct LimitNotice {
  /// False: the notice is there but cannot be parsed.
  bool mClear = true;
  /// Requests per second that the upstream accepts from all routers together;
  /// empty: no limit.
  std::optional<double> mPerSecond;

  bool operator==(const LimitNotice&) const = default;
};

/// Properties of an upstream's answer, read from its head.
struct AnswerFacts {
  Ran mRan = Ran::kUnknown;
  bool mOurs = true;        ///< The answer belongs to this request.
  bool mSigned = false;     ///< The upstream signed the answer.
  bool mIsStream = false;   ///< The body is a stream of events.
  bool mIsEncoded = false;  ///< The body has a content encoding.
  std::string mCulprit;     ///< Address of the upstream that refused.
  LimitNotice mLimit;
  /// The upstream refused the request and asks this process to send it nothing
  /// for this time; 0: not given.
  Millis mBackoff = 0;
  bool mLeaves = false;  ///< The upstream accepts no new work.
};

/// Translates callers' requests and upstreams' answers.
struct CallerProtocol {
  /// Throws an Error, which is sent to the caller as the answer.
  std::function<RequestFacts(const RequestHead&)> mReadRequest;
  std::function<HttpHeaders(const RequestHead&, const DispatchFacts&)>
      mWriteRequest;
  std::function<AnswerFacts(const AnswerHead&, const RequestFacts&)>
      mReadAnswer;
  std::function<HttpHeaders(const AnswerHead&)> mWriteAnswer;
  /// Headers of an answer that the router itself generates; aRetryAfter in
  /// milliseconds, -1: no such header.
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

/// An order to an engine to hold layers.
struct PlaceOrder {
  /// Which engine is meant: another one may have its address by now, and must
  /// not obey.
  std::string mInstance;
  LayerRange mLayers;
  std::int64_t mFence = 0;
  std::optional<std::int64_t>
      mExpectedOrders;  ///< Accepted by the engine so far.
  /// Takes effect at once, without waiting for requests that use the old
  /// layers.
  bool mCutsOff = false;
};

/// An order to move a running request to another path.
struct RepathOrder {
  std::string mRequestId;
  const LayerPath* mPath = nullptr;
  std::int64_t mFence = 0;
};

/// A stalled request, as the engine of its first stage reports it.
struct StalledRequest {
  std::string mRequestId;
  std::string mAddress;  ///< Of the engine that the request waits for.
};

/// The state that an engine reports.
struct EngineState {
  std::int64_t mStart = 0;  ///< See UpstreamRecord.
  LayerRange mLayers;
  bool mBusy = false;        ///< An order is being carried out.
  std::int64_t mOrders = 0;  ///< Accepted so far.
  double mSlowdown = 1;      ///< Factor; 1: as modelled, more: slower.
  int mWaiting = 0;          ///< Requests.
  int mRunning = 0;          ///< Requests.
  double mUsed = 0;          ///< Tokens x layers.
  double mTotal = 0;         ///< Tokens x layers.
  std::vector<StalledRequest> mStalled;
};

/// Translates orders to engines and engines' reports.
struct EngineProtocol {
  std::function<EngineMessage(const PlaceOrder&)> mWritePlace;
  std::function<EngineMessage(const RepathOrder&)> mWriteRepath;
  /// The message by which a router polls an engine's state.
  std::function<EngineMessage()> mWriteStateRequest;
  /// Throws kMalformedJson or kBadField.
  std::function<EngineState(std::string_view)> mReadState;
};

/// Parses configurations in the operators' format.
struct DocumentProtocol {
  /// Throws kMalformedJson, kBadField or kBadConfiguration.
  std::function<TrafficConfiguration(std::string_view)> mRead;
  /// Throws the same for a document that must not be accepted, although mRead
  /// reads it: an earlier build may have accepted one like it. May be empty.
  std::function<void(std::string_view)> mCheckNew;
};

}  // namespace spindleweir
