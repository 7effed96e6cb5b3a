/// Keeps a router's knowledge new by asking all controls a few times a second.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "daemons/relay/relay_context.h"

namespace spindleweir {

/// The asking side of control.sync.
class SyncLink {
 public:
  explicit SyncLink(RelayContext& aContext);

  /// Whether a control has answered.
  bool Joined() const { return mJoined; }

 private:
  /// One control process, by address.
  struct Source {
    std::string mLife;
    std::int64_t mRevision = 0;
    std::string mZone;
    bool mAsking = false;
    Millis mAskedAt = 0;
  };

  void Step();
  void Ask(const Endpoint& aAddress, bool aWantsConfiguration);
  void Take(const Endpoint& aAddress, const SyncAnswer& aAnswer,
            Millis aAskedAt);
  bool IsNear(const Source& aSource) const;

  RelayContext& mContext;
  std::string mProcess;
  std::map<std::string, Source> mSources;
  std::string mNear;  ///< The address that loads are told to.
  bool mJoined = false;
  std::unique_ptr<Timer> mTimer;
};

}  // namespace spindleweir
