/// A router's dealings with our other processes: probes, gossip, the
/// configuration, and the handing over of receipts.
#pragma once

#include <memory>
#include <set>
#include <string>

#include "daemons/router/router_context.h"
#include "spindleweir/daemons/peer_messages.h"
#include "spindleweir/drivers/rpc_dispatcher.h"

namespace spindleweir {

/// Registers its methods with the dispatcher and runs by its own timers.
class PeerLink {
 public:
  PeerLink(RouterContext& aContext, RpcDispatcher& aDispatcher);

  const MemberTable& Members() const { return mMembers; }

 private:
  void RegisterMethods(RpcDispatcher& aDispatcher);
  void SetPeers(const EntryVms& aVms);
  PeerState LocalState();
  void ApplyPeerState(const PeerState& aState);
  void Probe(const std::string& aTarget, const std::string& aVia);
  void ProbeFor(const IndirectProbe& aProbe);
  void OnConfigurationUpdate(const ConfigurationUpdate& aUpdate);
  void Pull(const std::string& aFrom);
  void PullFromControl();
  void UpdateReadiness();
  void ShareLimits();
  void SendReceipts();
  Json::Value StateForOperators() const;

  RouterContext& mContext;
  MemberTable mMembers;
  std::set<std::string> mUnprobedPeers;  ///< Before the router is ready.
  std::int64_t mNewestKnownVersion = 0;  ///< Heard of.
  bool mPulling = false;
  bool mPullPending = false;  ///< A push came that does not follow.
  std::unique_ptr<Timer> mTickTimer;
  std::unique_ptr<Timer> mShareTimer;
  std::unique_ptr<Timer> mReceiptTimer;
};

}  // namespace spindleweir
