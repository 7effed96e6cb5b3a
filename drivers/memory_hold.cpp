#include "spindleweir/drivers/memory_hold.h"

#include <utility>

namespace spindleweir {

MemoryHold::MemoryHold(std::shared_ptr<MemoryBudget> aBudget)
    : mBudget(std::move(aBudget)), mNumber(mBudget->Open(SteadyNow())) {}

MemoryHold::~MemoryHold() {
  mBudget->Close(mNumber);
}

void MemoryHold::SetHeld(BufferKind aKind, std::size_t aBytes) {
  mBudget->SetHeld(mNumber, aKind, aBytes);
}

void MemoryHold::SetEvictionClass(EvictionClass aClass) {
  mBudget->SetEvictionClass(mNumber, aClass, SteadyNow());
}

void MemoryHold::RecordProgress(std::size_t aBytes) {
  mBudget->RecordProgress(mNumber, aBytes, SteadyNow());
}

bool MemoryHold::MayReadMore() {
  return mBudget->MayReadMore(mNumber, SteadyNow());
}

bool MemoryHold::MayCollect() const {
  return mBudget->MayCollect(mNumber);
}

}  // namespace spindleweir
