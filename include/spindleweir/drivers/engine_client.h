/// The adapter to model engines. An engine's own protocol stands here and in
/// engine_client.cpp only.
///
/// The last engine of a chain is asked for the stream; it asks the one before
/// it, and so on, so that activations go from engine to engine directly and
/// only tokens come to the router. Frames are JSON objects, one a line.
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

/// One engine of a chain, with the layers it runs.
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

/// What a chain is asked to do.
struct ChainJob {
  std::string mRequest;
  int mAttempt = 0;  ///< An engine drops earlier attempts of the request.
  std::string mModel;
  std::string mVersion;
  std::string mPrompt;
  std::vector<std::string> mDelivered;  ///< Tokens the caller has already.
  int mMaximumTokens = 16;              ///< Over all attempts.
  int mPriority = 0;
  std::vector<ChainHop> mChain;  ///< In the order of the layers.
  int mPosition = 0;             ///< Of the engine that is asked, in mChain.

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

/// An order as an engine takes it.
struct EngineOrderMessage {
  std::int64_t mEpoch = 0;  ///< The fence: an engine refuses a smaller one.
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

/// What a running chain tells.
struct ChainHooks {
  std::function<void(const TokenFrame&)> mOnFrame;
  /// The stream ended; by itself that is no success: the last frame is.
  std::function<void(const HttpResult&)> mOnEnd;
};

/// Talks to engines.
class EngineClient {
 public:
  explicit EngineClient(HttpClient& aClient) : mClient(aClient) {}

  /// Starts a chain; destroying the call cancels it on all its engines.
  std::unique_ptr<HttpCall> Run(const ChainJob& aJob, ChainHooks aHooks);
  /// Asks for a report; nullptr where none came.
  void GetReport(const Endpoint& aEngine, Millis aTimeout,
                 std::function<void(const EngineReport*)> aDone);
  void SendOrder(const Endpoint& aEngine, const EngineOrder& aOrder,
                 std::int64_t aEpoch, std::function<void(bool)> aDone);

 private:
  HttpClient& mClient;
};

}  // namespace spindleweir
