/// The adapter to model engines. Only this header and engine_client.cpp
/// implement the engines' protocol.
///
/// The router requests the stream from the last engine of a chain; each engine
/// sends a request to the one before it. Activations go directly from engine to
/// engine, and the router gets only tokens: one JSON object per line.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "spindleweir/drivers/http_client.h"
#include "spindleweir/servers/placement/engine_report.h"
#include "spindleweir/servers/placement/order_planner.h"
#include "spindleweir/servers/routing/token_filter.h"

namespace spindleweir {

/// One engine of a chain and its layer range.
struct ChainHop {
  std::string mEngine;
  std::string mAddress;  ///< "ip:port".
  int mFirst = 0;
  int mLast = 0;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("engine", mEngine);
    aCodec.Required("address", mAddress);
    aCodec.Required("first", mFirst);
    aCodec.Required("last", mLast);
  }
};

/// A request to run a chain.
struct ChainJob {
  std::string mRequest;
  int mAttempt = 0;  ///< An engine cancels earlier attempts of the request.
  std::string mModel;
  std::string mVersion;
  std::string mPrompt;
  std::vector<std::string> mDelivered;  ///< Tokens that the caller already has.
  int mMaximumTokens = 16;              ///< Total over all attempts.
  int mPriority = 0;
  std::vector<ChainHop> mChain;  ///< In the order of the layers.
  int mPosition = 0;             ///< Index of the receiving engine in mChain.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("request", mRequest);
    aCodec.Required("attempt", mAttempt);
    aCodec.Required("model", mModel);
    aCodec.Field("version", mVersion);
    aCodec.Field("prompt", mPrompt);
    aCodec.Field("delivered", mDelivered);
    aCodec.Field("max_tokens", mMaximumTokens);
    aCodec.Field("priority", mPriority);
    aCodec.Required("chain", mChain);
    aCodec.Required("position", mPosition);
  }
};

/// An order in the format of the engines' protocol.
struct EngineOrderMessage {
  std::int64_t mEpoch = 0;  ///< The fence: an engine refuses smaller ones.
  std::string mKind;        ///< "load" or "drop".
  std::string mModel;
  std::string mVersion;
  int mFirst = 0;
  int mLast = 0;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("epoch", mEpoch);
    aCodec.Required("kind", mKind);
    aCodec.Field("model", mModel);
    aCodec.Field("version", mVersion);
    aCodec.Field("first", mFirst);
    aCodec.Field("last", mLast);
  }
};

/// Callbacks of a running chain.
struct ChainHooks {
  std::function<void(const TokenFrame&)> mOnFrame;
  /// The stream ended. Only its last frame shows whether it succeeded.
  std::function<void(const HttpResult&)> mOnEnd;
};

/// Sends requests to engines.
class EngineClient {
 public:
  explicit EngineClient(HttpClient& aClient) : mClient(aClient) {}

  /// Starts a chain; destroying the call cancels it on all its engines.
  std::unique_ptr<HttpCall> Run(const ChainJob& aJob, ChainHooks aHooks);
  /// Requests a report; passes nullptr to aDone if there is no valid one.
  void GetReport(const Endpoint& aEngine, Millis aTimeout,
                 std::function<void(const EngineReport*)> aDone);
  void SendOrder(const Endpoint& aEngine, const EngineOrder& aOrder,
                 std::int64_t aEpoch, std::function<void(bool)> aDone);

 private:
  HttpClient& mClient;
};

}  // namespace spindleweir
