/// A control process that finds the others by seeds and accepts
/// configurations by their version: replicated log, registry of upstreams,
/// placement. Requests of operators and upstreams reach it as typed calls.
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

/// The result of an operator's call.
struct OperatorAnswer {
  ResultCode mCode = ResultCode::kOk;
  std::string mMessage;
  std::string mDocument;  ///< Result of Read().
  std::string mLeader;    ///< For kNotLeader: the leader's "IP:PORT" for
                          ///< operators.
};

using OperatorDone = std::function<void(const OperatorAnswer&)>;

/// One control process in an event loop. While its disk does not accept what a
/// start writes, it waits for the disk: it listens and counts, but accepts no
/// call.
class JoinedControl {
 public:
  /// Throws kBadSetting, kCannotListen, kDataCorrupt, kDataUnwritable. A start
  /// that waited for the disk throws the last two from the event loop.
  JoinedControl(EventLoop& aLoop, ControlOptions aOptions);
  ~JoinedControl();
  JoinedControl(const JoinedControl&) = delete;
  JoinedControl& operator=(const JoinedControl&) = delete;

  /// Publishes a configuration under the version that it carries; aDone is
  /// called once; with kStorageFailed until HasStarted().
  void Publish(const std::string& aDocument, const OperatorDone& aDone);
  /// Reads the newest document; kNoQuorum if the document held here may not be
  /// the newest; kStorageFailed until HasStarted().
  void Read(const OperatorDone& aDone);
  /// Applies a heartbeat; aDone is called as soon as it may be acknowledged.
  /// Throws kUnknownService.
  void ApplyHeartbeat(const UpstreamRecord& aRecord,
                      const HeartbeatDone& aDone);
  /// Applies a leave notice. aStart: of the incarnation that leaves; 0:
  /// unknown.
  void Leave(const std::string& aInstance, const HeartbeatDone& aDone,
             std::int64_t aStart = 0);
  /// Counts and logs a heartbeat or leave notice that is invalid.
  void OnInvalidHeartbeat(const std::string& aInstance, const Error& aWhy);

  /// Whether the start is complete; false while it waits for the disk.
  bool HasStarted() const;
  /// Replaces the seeds.
  void SetSeeds(std::vector<Endpoint> aSeeds);
  Counters& OwnCounters();
  /// Sets the gauges that describe the current state.
  void RefreshGauges();
  /// Stops the event loop once this control has handed over its place among the
  /// voters, or at once if there is nothing to hand over or it is called again.
  void Stop();

 private:
  struct Parts;
  std::unique_ptr<Parts> mParts;
};

}  // namespace spindleweir
