/// What is held for one caller's connection, as its parts in the drivers see
/// it: the connection itself and the calls made for it.
#pragma once

#include <cstdint>
#include <memory>

#include "spindleweir/servers/limits/memory_account.h"

namespace spindleweir {

/// One holder of a MemoryAccount.
class MemoryHold {
 public:
  explicit MemoryHold(std::shared_ptr<MemoryAccount> aAccount);
  ~MemoryHold();
  MemoryHold(const MemoryHold&) = delete;
  MemoryHold& operator=(const MemoryHold&) = delete;

  std::uint64_t Number() const { return mNumber; }
  MemoryAccount& Account() { return *mAccount; }

  void Set(HeldKind aKind, std::size_t aBytes);
  void SetClaim(MemoryClaim aClaim);
  void Moved(std::size_t aBytes);
  bool MayReadOn();
  bool MayCollect() const;

 private:
  std::shared_ptr<MemoryAccount> mAccount;
  std::uint64_t mNumber;
};

}  // namespace spindleweir
