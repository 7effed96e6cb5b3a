#include "spindleweir/drivers/memory_hold.h"

#include <utility>

namespace spindleweir {

MemoryHold::MemoryHold(std::shared_ptr<MemoryAccount> aAccount)
    : mAccount(std::move(aAccount)), mNumber(mAccount->Open(SteadyNow())) {}

MemoryHold::~MemoryHold() {
  mAccount->Close(mNumber);
}

void MemoryHold::Set(HeldKind aKind, std::size_t aBytes) {
  mAccount->Set(mNumber, aKind, aBytes);
}

void MemoryHold::SetClaim(MemoryClaim aClaim) {
  mAccount->SetClaim(mNumber, aClaim, SteadyNow());
}

void MemoryHold::Moved(std::size_t aBytes) {
  mAccount->Moved(mNumber, aBytes, SteadyNow());
}

bool MemoryHold::MayReadOn() {
  return mAccount->MayReadOn(mNumber, SteadyNow());
}

bool MemoryHold::MayCollect() const {
  return mAccount->MayCollect(mNumber);
}

}  // namespace spindleweir
