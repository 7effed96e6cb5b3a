#include "spindleweir/servers/receipts/receipt_book.h"

#include <algorithm>

namespace spindleweir {

void ReceiptBook::Add(const Receipt& aReceipt) {
  const bool known = mReceipts.contains(aReceipt.mRequest);
  mReceipts[aReceipt.mRequest] = aReceipt;
  if (known) {
    return;
  }
  mOrder.push_back(aReceipt.mRequest);
  if (mOrder.size() > mMaximum) {
    mReceipts.erase(mOrder.front());
    mOrder.pop_front();
  }
}

const Receipt* ReceiptBook::Find(const std::string& aRequest) const {
  const auto it = mReceipts.find(aRequest);
  return it == mReceipts.end() ? nullptr : &it->second;
}

std::vector<Receipt> ReceiptBook::All() const {
  std::vector<Receipt> all;
  all.reserve(mOrder.size());
  for (const std::string& request : mOrder) {
    all.push_back(mReceipts.at(request));
  }
  return all;
}

void ReceiptOutbox::Add(const Receipt& aReceipt) {
  if (Size() >= mMaximum) {
    mLost++;
    return;
  }
  mWaiting.push_back(aReceipt);
}

std::vector<Receipt> ReceiptOutbox::Take(std::size_t aMost) {
  if (!mUnderWay.empty()) {
    return {};
  }
  const std::size_t n = std::min(aMost, mWaiting.size());
  const auto end = mWaiting.begin() + static_cast<std::ptrdiff_t>(n);
  mUnderWay.assign(mWaiting.begin(), end);
  mWaiting.erase(mWaiting.begin(), end);
  return mUnderWay;
}

void ReceiptOutbox::Acknowledge(bool aHandedOver) {
  if (!aHandedOver) {
    mWaiting.insert(mWaiting.begin(), mUnderWay.begin(), mUnderWay.end());
  }
  mUnderWay.clear();
}

}  // namespace spindleweir
