/// The memory held for one caller's connection; shared by the connection and
/// the upstream calls made for it.
#pragma once

#include <cstdint>
#include <memory>

#include "spindleweir/servers/limits/memory_budget.h"

namespace spindleweir {

/// One connection's entry in a MemoryBudget.
class MemoryHold {
 public:
  explicit MemoryHold(std::shared_ptr<MemoryBudget> aBudget);
  ~MemoryHold();
  MemoryHold(const MemoryHold&) = delete;
  MemoryHold& operator=(const MemoryHold&) = delete;

  std::uint64_t Number() const { return mNumber; }
  MemoryBudget& Budget() { return *mBudget; }

  void SetHeld(BufferKind aKind, std::size_t aBytes);
  void SetEvictionClass(EvictionClass aClass);
  void RecordProgress(std::size_t aBytes);
  bool MayReadMore();
  bool MayCollect() const;

 private:
  std::shared_ptr<MemoryBudget> mBudget;
  std::uint64_t mNumber;
};

}  // namespace spindleweir
