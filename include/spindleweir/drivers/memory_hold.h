/// What is held for one caller's connection, as its parts in the drivers see
/// it: the connection itself and the calls made for it.
#pragma once

#include <cstdint>
#include <memory>

#include "spindleweir/servers/limits/memory_budget.h"

namespace spindleweir {

/// One holder of a MemoryBudget.
class MemoryHold {
 public:
  explicit MemoryHold(std::shared_ptr<MemoryBudget> aAccount);
  ~MemoryHold();
  MemoryHold(const MemoryHold&) = delete;
  MemoryHold& operator=(const MemoryHold&) = delete;

  std::uint64_t Number() const { return mNumber; }
  MemoryBudget& Account() { return *mAccount; }

  void Set(BufferKind aKind, std::size_t aBytes);
  void SetClaim(EvictionClass aClaim);
  void Moved(std::size_t aBytes);
  bool MayReadOn();
  bool MayCollect() const;

 private:
  std::shared_ptr<MemoryBudget> mAccount;
  std::uint64_t mNumber;
};

}  // namespace spindleweir
