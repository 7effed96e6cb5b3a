/// The requests that a router has taken and not ended yet.
#pragma once

#include <map>
#include <memory>
#include <utility>

namespace spindleweir {

/// Owns the handlers of open requests, so that none outlives its router:
/// otherwise an answer or a timer of the event loop would reach a handler whose
/// router is gone.
class OpenRequests {
 public:
  void Add(std::shared_ptr<void> aHandler) {
    const void* key = aHandler.get();
    mHandlers[key] = std::move(aHandler);
  }
  /// Gives up the ownership of a handler.
  std::shared_ptr<void> Remove(const void* aHandler) {
    const auto it = mHandlers.find(aHandler);
    if (it == mHandlers.end()) {
      return nullptr;
    }
    std::shared_ptr<void> handler = std::move(it->second);
    mHandlers.erase(it);
    return handler;
  }
  int Count() const { return static_cast<int>(mHandlers.size()); }

 private:
  std::map<const void*, std::shared_ptr<void>> mHandlers;
};

}  // namespace spindleweir
