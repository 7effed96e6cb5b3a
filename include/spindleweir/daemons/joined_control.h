/// A control process that finds the others by seeds and accepts
/// configurations by their version: replicated log, registry of upstreams,
/// placement. What operators and upstreams say reaches it as typed calls.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "spindleweir/core/counters.h"
#include "spindleweir/core/error.h"
#include "spindleweir/daemons/control_daemon.h"
#include "spindleweir/daemons/heartbeat_answer.h"
#include "spindleweir/drivers/event_loop.h"
#include "spindleweir/servers/membership/upstream_registry.h"

namespace spindleweir {

/// What an operator's call came to.
struct OperatorAnswer {
  ResultCode mCode = ResultCode::kOk;
  std::string mMessage;
  std::string mDocument;  ///< For a read.
  std::string mLeader;    ///< For kNotLeader: "IP:PORT" for operators.
};

using OperatorDone = std::function<void(const OperatorAnswer&)>;

/// One control process in an event loop.
class JoinedControl {
 public:
  /// Throws kBadSetting, kCannotListen, kDataCorrupt, kDataUnwritable.
  JoinedControl(EventLoop& aLoop, ControlOptions aOptions);
  ~JoinedControl();
  JoinedControl(const JoinedControl&) = delete;
  JoinedControl& operator=(const JoinedControl&) = delete;

  /// Accepts a configuration by its version; aDone is called once.
  void Publish(const std::string& aDocument, const OperatorDone& aDone);
  /// Gives the newest document; kNoQuorum where it may not be the newest.
  void Read(const OperatorDone& aDone);
  /// Takes a heartbeat; aDone is called once it may be acknowledged. Throws
  /// kUnknownService.
  void ApplyHeartbeat(const UpstreamRecord& aRecord,
                      const HeartbeatDone& aDone);
  /// aStart: of the incarnation that leaves; 0: not told.
  void Leave(const std::string& aInstance, const HeartbeatDone& aDone,
             std::int64_t aStart = 0);
  /// A heartbeat, or the word that one leaves, that cannot be used.
  void OnInvalidHeartbeat(const std::string& aInstance, const Error& aWhy);

  /// Takes new seeds.
  void SetSeeds(std::vector<Endpoint> aSeeds);
  Counters& OwnCounters();
  /// Sets the gauges that stand for the state of the moment.
  void RefreshGauges();
  void Stop();

 private:
  struct Parts;
  std::unique_ptr<Parts> mParts;
};

}  // namespace spindleweir
