/// A stand-in model engine: holds a range of layers, uses continuous batching,
/// applies orders that carry a fence, and injects faults on request.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "spindleweir/drivers/engine_client.h"
#include "spindleweir/drivers/event_loop.h"
#include "spindleweir/drivers/http_client.h"
#include "spindleweir/drivers/http_server.h"
#include "standins/record.h"

namespace spindleweir {

/// Options of a stand-in engine.
struct EngineStandinOptions {
  std::string mVm;
  std::string mZone;
  std::string mAccelerator = "a100";
  Endpoint mListen;
  int mMemoryLayers = 8;
  double mLayerMicros = 1000;
  int mBatch = 8;
  Millis mLoadMillis = 200;
  bool mChecksFence = true;
  Millis mReportLag = 0;  ///< Age of the queue length in a report.
  std::string mRecord;    ///< Path; empty: writes no record.
};

/// The message that one stage sends to the next; the last stage sends it to the
/// router as a token.
struct Activation {
  TokenFrame mFrame;
  std::uint64_t mValue = 0;

  template <class Codec>
  void Fields(Codec& aCodec) {
    mFrame.Fields(aCodec);
    aCodec.Field("value", mValue);
  }
};

/// One engine, run by an event loop.
class EngineStandin {
 public:
  EngineStandin(EventLoop& aLoop, EngineStandinOptions aOptions);
  ~EngineStandin();

  const Endpoint& Address() const { return mServer->Address(); }

 private:
  struct Stream;
  struct WorkItem {
    std::weak_ptr<Stream> mStream;
    Activation mActivation;
  };

  void Handle(const std::shared_ptr<HttpExchange>& aExchange);
  void HandleReport(HttpExchange& aExchange);
  void HandleOrder(HttpExchange& aExchange);
  void StartStream(const std::shared_ptr<HttpExchange>& aExchange);
  void HandleTokenAck(HttpExchange& aExchange);
  void HandleFault(HttpExchange& aExchange);
  void CallPreviousStage(const std::shared_ptr<Stream>& aStream);
  void Enqueue(const std::shared_ptr<Stream>& aStream,
               const Activation& aActivation);
  /// Sends the error aReason to the caller of the stream (the next stage or the
  /// router), names aFailed as the engine at fault, and ends the stream.
  void FailStream(const std::shared_ptr<Stream>& aStream,
                  const std::string& aReason, const std::string& aFailed);
  void StartStep();
  void FinishStep();
  void SendToken(const std::shared_ptr<Stream>& aStream,
                 Activation aActivation);
  void StartToken(const std::shared_ptr<Stream>& aStream, int aIndex);
  void RemoveStream(const std::string& aRequest);
  void Unfreeze();

  EventLoop& mLoop;
  EngineStandinOptions mOptions;
  HttpClient mClient;
  EngineReport mReport;
  Record mRecord;
  std::map<std::string, std::shared_ptr<Stream>> mStreams;  ///< By request.
  std::deque<WorkItem> mQueue;
  std::vector<WorkItem> mBatch;
  double mStepEnd = 0;  ///< Due time of the latest step, in milliseconds.
  /// A queue length and the time of its measurement.
  struct QueueSample {
    Millis mAt;
    int mQueue;
  };
  std::deque<QueueSample> mSamples;
  double mSlowdown = 1;
  std::string mCorrupt;  ///< Fault injected into answers; empty: none.
  std::unique_ptr<Timer> mStepTimer;
  std::unique_ptr<Timer> mLoadTimer;
  std::unique_ptr<Timer> mFreezeTimer;  ///< Set: the engine is frozen.
  /// Requests that arrived while the engine was frozen.
  std::vector<std::shared_ptr<HttpExchange>> mHeldExchanges;
  std::unique_ptr<HttpServer> mServer;
};

}  // namespace spindleweir
