/// Messages that processes exchange: probes, receipts, method names.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "spindleweir/core/clock.h"
#include "spindleweir/servers/limits/share_divider.h"
#include "spindleweir/servers/membership/leaving_set.h"
#include "spindleweir/servers/membership/member_table.h"
#include "spindleweir/servers/receipts/receipt_store.h"

namespace spindleweir {

/// The names of the JSON-RPC methods.
namespace rpc_method {
inline constexpr const char* kPing = "member.ping";
inline constexpr const char* kPingVia = "member.ping_via";
inline constexpr const char* kAnswered = "member.answered";
inline constexpr const char* kGetConfiguration = "configuration.get";
inline constexpr const char* kPushConfiguration = "configuration.push";
inline constexpr const char* kLease = "lease.request";
inline constexpr const char* kClaim = "claim.ask";
inline constexpr const char* kClaimPage = "claim.page";
inline constexpr const char* kStoreReceipts = "receipts.store";
inline constexpr const char* kFindReceipt = "receipts.find";
inline constexpr const char* kRaft = "raft.message";
inline constexpr const char* kRouterState = "router.state";
}  // namespace rpc_method

/// The sender's state; the content of a probe and of the answer to one.
struct PeerState {
  std::string mFrom;
  std::string mZone;
  std::int64_t mVersion = 0;  ///< Of the sender's configuration.
  bool mReady = false;
  std::vector<MemberUpdate> mUpdates;
  std::vector<LeaveNotice> mLeaving;
  std::vector<WorkspaceDemand> mDemands;  ///< Only if a router sends.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("from", mFrom);
    aCodec.Field("zone", mZone);
    aCodec.Field("version", mVersion);
    aCodec.Field("ready", mReady);
    aCodec.Field("updates", mUpdates);
    aCodec.Field("leaving", mLeaving);
    aCodec.Field("demands", mDemands);
  }
};

/// Requests that a peer probes another in place of the sender, or reports that
/// such a probe was answered.
struct IndirectProbe {
  std::string mFrom;
  std::string mTarget;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("from", mFrom);
    aCodec.Required("target", mTarget);
  }
};

/// A batch of receipts to be stored on disk.
struct ReceiptBatch {
  std::vector<Receipt> mReceipts;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("receipts", mReceipts);
  }
};

/// Requests the receipt of one request.
struct ReceiptQuery {
  std::string mRequest;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("request", mRequest);
  }
};

}  // namespace spindleweir
