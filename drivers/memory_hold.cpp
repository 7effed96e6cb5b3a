#include "spindleweir/drivers/memory_hold.h"

#include <utility>

namespace spindleweir {

MemoryHold::MemoryHold(std::shared_ptr<MemoryBudget> aAccount)
    : mAccount(std::move(aAccount)), mNumber(mAccount->Open(SteadyNow())) {}

MemoryHold::~MemoryHold() {
  mAccount->Close(mNumber);
}

void MemoryHold::Set(BufferKind aKind, std::size_t aBytes) {
  mAccount->SetHeld(mNumber, aKind, aBytes);
}

void MemoryHold::SetClaim(EvictionClass aClaim) {
  mAccount->SetEvictionClass(mNumber, aClaim, SteadyNow());
}

void MemoryHold::Moved(std::size_t aBytes) {
  mAccount->RecordProgress(mNumber, aBytes, SteadyNow());
}

bool MemoryHold::MayReadOn() {
  return mAccount->MayReadMore(mNumber, SteadyNow());
}

bool MemoryHold::MayCollect() const {
  return mAccount->MayCollect(mNumber);
}

}  // namespace spindleweir
