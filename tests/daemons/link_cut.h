/// The links of one router to upstreams, which a test can cut.
#pragma once

#include <list>
#include <memory>
#include <set>
#include <string>

#include "spindleweir/drivers/stream_client.h"

namespace spindleweir {

/// What calls notice of a cut.
enum class CutMode {
  kNone,
  kHang,       ///< Open calls fall silent, new connections time out.
  kReset,      ///< Open calls are lost, new connections are refused.
  kRefuseNew,  ///< Open calls go on, new connections are refused.
};

/// Its calls may outlive it: they are then cut no more.
class LinkCut {
 public:
  /// For RelayOptions::mStartCall.
  StartCallHook Hook();
  /// Cuts the links to these addresses.
  void Cut(CutMode aMode, std::set<std::string> aAddresses);
  void Heal() { mMode = CutMode::kNone; }

 private:
  class Link;

  bool IsCut(const std::string& aAddress) const {
    return mMode != CutMode::kNone && mAddresses.contains(aAddress);
  }

  CutMode mMode = CutMode::kNone;
  std::set<std::string> mAddresses;
  std::shared_ptr<std::list<Link*>> mLinks =
      std::make_shared<std::list<Link*>>();
};

}  // namespace spindleweir
