/// A router's messages with other routers and control: membership probes,
/// gossip, configuration updates and receipts.
#pragma once

#include <memory>
#include <set>
#include <string>

#include "daemons/router/router_context.h"
#include "spindleweir/daemons/peer_messages.h"
#include "spindleweir/drivers/rpc_dispatcher.h"

namespace spindleweir {

/// Registers its RPC methods with the dispatcher and runs on its own timers.
class PeerLink {
 public:
  PeerLink(RouterContext& aContext, RpcDispatcher& aDispatcher);

  const MemberTable& Members() const { return mMembers; }
  /// RPC addresses of the other routers that are not known to have crashed,
  /// those of this zone first, otherwise in random order.
  std::vector<Endpoint> OtherRouters();

 private:
  void RegisterMethods(RpcDispatcher& aDispatcher);
  void SetPeers(const EntryVms& aVms);
  PeerState LocalState();
  void ApplyPeerState(const PeerState& aState);
  /// Pings aTarget, or asks aVia to ping it if aVia is not empty.
  void Probe(const std::string& aTarget, const std::string& aVia);
  /// Pings a target for a peer and reports to the peer if it answers.
  void ProbeFor(const IndirectProbe& aProbe);
  void OnConfigurationUpdate(const ConfigurationUpdate& aUpdate);
  /// Fetches newer configuration changes from a process; one pull at a time.
  void Pull(const std::string& aFrom);
  void PullFromControl();
  void UpdateReadiness();
  /// Divides limits among the routers that are not known to have crashed.
  void ShareLimits();
  /// Sends a batch of receipts to a control process, the local zone's first.
  void SendReceipts();
  Json::Value StateForOperators() const;

  RouterContext& mContext;
  MemberTable mMembers;
  /// Peers still to be probed before the router becomes ready.
  std::set<std::string> mUnprobedPeers;
  /// Highest configuration version that any process has sent.
  std::int64_t mNewestKnownVersion = 0;
  bool mPulling = false;
  bool mPullPending = false;  ///< A pushed update left a gap.
  std::unique_ptr<Timer> mTickTimer;
  std::unique_ptr<Timer> mShareTimer;
  std::unique_ptr<Timer> mReceiptTimer;
};

}  // namespace spindleweir
