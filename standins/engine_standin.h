/// A stand-in model engine: holds a range of layers, batches continuously,
/// takes fenced orders, and can be given faults.
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

/// How a stand-in engine is set up.
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
  Millis mReportLag = 0;  ///< How old the queue in a report is.
  std::string mRecord;    ///< Path; empty: no record.
};

/// What goes from engine to engine, and as a token to the router.
struct Activation {
  TokenFrame mFrame;
  std::uint64_t mValue = 0;

  template <class Codec>
  void Fields(Codec& aCodec) {
    mFrame.Fields(aCodec);
    aCodec.Field("value", mValue);
  }
};

/// One engine in an event loop.
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
  double mStepEnd = 0;  ///< When the last step was due, in milliseconds.
  /// A queue length and when it held.
  struct QueueSample {
    Millis mAt;
    int mQueue;
  };
  std::deque<QueueSample> mSamples;
  double mSlowdown = 1;
  std::string mCorrupt;  ///< A fault of the answers; empty: none.
  std::unique_ptr<Timer> mStepTimer;
  std::unique_ptr<Timer> mLoadTimer;
  std::unique_ptr<Timer> mFreezeTimer;  ///< Set: the engine is frozen.
  std::vector<std::shared_ptr<HttpExchange>> mHeldExchanges;
  std::unique_ptr<HttpServer> mServer;
};

}  // namespace spindleweir
