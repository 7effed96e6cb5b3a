#include "spindleweir/servers/receipts/receipt_store.h"

#include <algorithm>

namespace spindleweir {

void ReceiptStore::Add(const Receipt& aReceipt) {
  const bool isKnown = mReceipts.contains(aReceipt.mRequest);
  mReceipts[aReceipt.mRequest] = aReceipt;
  if (isKnown) {
    return;
  }
  mOrder.push_back(aReceipt.mRequest);
  if (mOrder.size() > mMaxReceipts) {
    mReceipts.erase(mOrder.front());
    mOrder.pop_front();
  }
}

const Receipt* ReceiptStore::Find(const std::string& aRequest) const {
  const auto it = mReceipts.find(aRequest);
  return it == mReceipts.end() ? nullptr : &it->second;
}

std::vector<Receipt> ReceiptStore::All() const {
  std::vector<Receipt> all;
  all.reserve(mOrder.size());
  for (const std::string& request : mOrder) {
    all.push_back(mReceipts.at(request));
  }
  return all;
}

void ReceiptOutbox::Add(const Receipt& aReceipt) {
  if (Size() >= mMaxReceipts) {
    mLost++;
    return;
  }
  mPending.push_back(aReceipt);
}

std::vector<Receipt> ReceiptOutbox::TakeBatch(std::size_t aMaxCount) {
  if (!mInFlight.empty()) {
    return {};
  }
  const std::size_t n = std::min(aMaxCount, mPending.size());
  const auto end = mPending.begin() + static_cast<std::ptrdiff_t>(n);
  mInFlight.assign(mPending.begin(), end);
  mPending.erase(mPending.begin(), end);
  return mInFlight;
}

void ReceiptOutbox::OnBatchResult(bool aDelivered) {
  if (!aDelivered) {
    mPending.insert(mPending.begin(), mInFlight.begin(), mInFlight.end());
  }
  mInFlight.clear();
}

}  // namespace spindleweir
