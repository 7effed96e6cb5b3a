#include "spindleweir/servers/limits/memory_account.h"

#include <algorithm>

namespace spindleweir {

namespace {

/// Of a process's memory. The rest is for the process itself (10 MB), the
/// objects of requests, and what the allocator rounds up and does not give
/// back: with 3,000 slow callers a router took 2.4 times what it held.
constexpr double kPartOfMemory = 0.4;
/// As many requests as this have their least side by side: a router takes
/// 3,000 connections.
constexpr std::size_t kPlannedHolders = 4096;
/// 8 KB are 6 MB/s at 1.3 ms there and back, 270 KB/s at 30 ms.
constexpr std::size_t kLeastWindow = 8 * 1024;
constexpr std::size_t kMostWindow = 64 * 1024;
/// One read of a connection.
constexpr std::size_t kRead = 4096;
/// What each request that is read may hold: a head that comes in two pieces.
constexpr std::size_t kLeastRequest = 2 * kRead;
/// Shares come out of this part of the bound; the rest is for the least of
/// requests that still come: 600 of 24 KB in 64 MB.
constexpr double kSharedPart = 0.75;
/// A share is this part of what is free, so that it shrinks as the account
/// fills and all shares together do not fill it: 64 holders of streams leave
/// half of the shared part free.
constexpr std::size_t kStreamDivisor = 64;
/// For what is collected whole: 3 MB of 48 MB for the first, 100 KB each for
/// the first 460.
constexpr std::size_t kCollectDivisor = 16;
/// For requests that are read: they have to be whole before they are sent, so
/// that a body of 4 MB must fit into 48 MB even beside others.
constexpr std::size_t kBodyDivisor = 4;
/// An answer that an upstream could not hand over for so long is drained as
/// far as there is room: upstreams cut one that is unread for some seconds.
constexpr Millis kDrainAfter = 1000;
/// A half of what is free: a call that is not drained keeps a place at its
/// upstream from callers that read well.
constexpr std::size_t kDrainDivisor = 2;
/// Who moved less than this in so long stands still: 512 B/s. A caller on the
/// slowest mobile link takes ten times as much; one that takes a byte a second
/// would keep its memory for a day.
constexpr Millis kStillAfter = 2000;
constexpr std::size_t kLeastMove = 1024;
/// Answers of calls that cannot be sent again are kept so much longer, and
/// until nearly all of the bound is used.
constexpr Millis kOnceStillAfter = 8000;
constexpr double kOncePart = 0.95;
/// Ended in one look at most, so that one look stays under a millisecond.
constexpr std::size_t kMostCuts = 64;
/// Who was refused comes back spread over a second; what stands still is cut
/// after two, so that half of them find room.
constexpr Millis kReturnAfter = 1000;
constexpr double kReturnSpread = 1000;

bool IsOfRequest(HeldKind aKind) {
  return aKind == HeldKind::kReading || aKind == HeldKind::kBody ||
         aKind == HeldKind::kUnsent;
}

}  // namespace

const char* NameOf(HeldKind aKind) {
  switch (aKind) {
    case HeldKind::kReading:
      return "reading";
    case HeldKind::kBody:
      return "body";
    case HeldKind::kUnsent:
      return "unsent";
    case HeldKind::kPartial:
      return "partial";
    case HeldKind::kArrived:
      return "arrived";
    case HeldKind::kUnread:
      return "unread";
  }
  return "";
}

MemoryAccountOptions MemoryAccountOptions::For(std::size_t aMemory) {
  MemoryAccountOptions options;
  if (aMemory == 0) {
    return options;
  }
  options.mBound =
      static_cast<std::size_t>(kPartOfMemory * static_cast<double>(aMemory));
  options.mWindow = std::clamp(options.mBound / kPlannedHolders / 2,
                               kLeastWindow, kMostWindow);
  options.mLeast = 2 * options.mWindow;
  return options;
}

MemoryAccount::MemoryAccount(MemoryAccountOptions aOptions)
    : mOptions(aOptions) {}

std::uint64_t MemoryAccount::Open(Millis aNow) {
  const std::uint64_t holder = mNext++;
  mHolders[holder].mStillSince = aNow;
  return holder;
}

void MemoryAccount::Close(std::uint64_t aHolder) {
  const auto it = mHolders.find(aHolder);
  if (it == mHolders.end()) {
    return;
  }
  for (std::size_t i = 0; i < kHeldKinds; i++) {
    mHeldByKind[i] -= it->second.mHeld[i];
  }
  mHeld -= it->second.mRequest + it->second.mAnswer;
  mCommitted -= CommittedOf(it->second);
  mWaiting.erase(aHolder);
  mHolders.erase(it);
}

std::size_t MemoryAccount::Coming(const Holder& aHolder) const {
  const std::size_t arrived =
      aHolder.mHeld[static_cast<std::size_t>(HeldKind::kArrived)];
  return aHolder.mCalls > 0 && arrived == 0 ? mOptions.mWindow + kRead : 0;
}

std::size_t MemoryAccount::CommittedOf(const Holder& aHolder) const {
  const std::size_t answer = aHolder.mAnswer + Coming(aHolder);
  const std::size_t least =
      aHolder.mClaim < MemoryClaim::kNotRun ? 0 : mOptions.mLeast;
  return std::max(aHolder.mRequest, aHolder.mReserved) +
         std::max(answer, least);
}

void MemoryAccount::AddCall(std::uint64_t aHolder, int aSign) {
  mCalls += aSign;
  const auto it = mHolders.find(aHolder);
  if (it != mHolders.end()) {
    mCommitted -= CommittedOf(it->second);
    it->second.mCalls += aSign;
    mCommitted += CommittedOf(it->second);
  }
}

void MemoryAccount::Set(std::uint64_t aHolder, HeldKind aKind,
                        std::size_t aBytes) {
  const auto it = mHolders.find(aHolder);
  if (it == mHolders.end()) {
    return;
  }
  Holder& holder = it->second;
  std::size_t& held = holder.mHeld[static_cast<std::size_t>(aKind)];
  std::size_t& byKind = mHeldByKind[static_cast<std::size_t>(aKind)];
  mCommitted -= CommittedOf(holder);
  byKind = byKind - held + aBytes;
  mHeld = mHeld - held + aBytes;
  std::size_t& side = IsOfRequest(aKind) ? holder.mRequest : holder.mAnswer;
  side = side - held + aBytes;
  held = aBytes;
  mCommitted += CommittedOf(holder);
}

void MemoryAccount::Moved(std::uint64_t aHolder, std::size_t aBytes,
                          Millis aNow) {
  const auto it = mHolders.find(aHolder);
  if (it == mHolders.end()) {
    return;
  }
  Holder& holder = it->second;
  holder.mMovedBytes += aBytes;
  // Who took all that there was cannot take more.
  const bool tookAll =
      holder.mHeld[static_cast<std::size_t>(HeldKind::kUnread)] == 0 &&
      holder.mHeld[static_cast<std::size_t>(HeldKind::kReading)] == 0;
  if (holder.mMovedBytes >= kLeastMove || tookAll) {
    holder.mMovedBytes = 0;
    holder.mStillSince = aNow;
  }
}

void MemoryAccount::SetClaim(std::uint64_t aHolder, MemoryClaim aClaim,
                             Millis aNow) {
  const auto it = mHolders.find(aHolder);
  if (it == mHolders.end() || it->second.mClaim == aClaim) {
    return;
  }
  Holder& holder = it->second;
  mCommitted -= CommittedOf(holder);
  holder.mClaim = aClaim;
  if (aClaim == MemoryClaim::kNone) {
    holder.mReserved = 0;
  } else {
    holder.mReserved = std::max(holder.mReserved, kLeastRequest);
  }
  holder.mDrains = false;
  holder.mMovedBytes = 0;
  holder.mStillSince = aNow;
  mCommitted += CommittedOf(holder);
}

bool MemoryAccount::HasRoomFor(std::uint64_t aHolder,
                               std::size_t aBytes) const {
  const auto it = mHolders.find(aHolder);
  if (!Bounded() || it == mHolders.end()) {
    return true;
  }
  const std::size_t others = mCommitted - CommittedOf(it->second);
  const std::size_t request = std::max(
      {aBytes, it->second.mRequest, it->second.mReserved, kLeastRequest});
  const std::size_t answer = std::max(it->second.mAnswer, mOptions.mLeast);
  return request <= std::max(mOptions.mLeast, SharedPart() / kBodyDivisor) &&
         others + request + answer <= mOptions.mBound;
}

bool MemoryAccount::Reserve(std::uint64_t aHolder, std::size_t aBytes) {
  // The last read may bring less than a whole one.
  const std::size_t bytes = aBytes + kRead;
  if (!HasRoomFor(aHolder, bytes)) {
    return false;
  }
  const auto it = mHolders.find(aHolder);
  if (Bounded() && it != mHolders.end()) {
    mCommitted -= CommittedOf(it->second);
    it->second.mReserved = std::max(it->second.mReserved, bytes);
    mCommitted += CommittedOf(it->second);
  }
  return true;
}

bool MemoryAccount::HasRoomForCall() const {
  const auto calls =
      static_cast<std::size_t>(std::max<std::int64_t>(0, mCalls));
  return mOptions.mDescriptors == 0 ||
         mHolders.size() + calls < mOptions.mDescriptors;
}

Millis MemoryAccount::ReturnAfter(double aRandom) {
  return kReturnAfter + static_cast<Millis>(kReturnSpread * aRandom);
}

std::size_t MemoryAccount::SharedPart() const {
  return static_cast<std::size_t>(kSharedPart *
                                  static_cast<double>(mOptions.mBound));
}

std::size_t MemoryAccount::Spare() const {
  const std::size_t shared = SharedPart();
  return shared > mCommitted ? shared - mCommitted : 0;
}

bool MemoryAccount::Tight() const {
  return Bounded() && Spare() == 0;
}

std::size_t MemoryAccount::Portion(std::size_t aDivisor,
                                   std::size_t aMost) const {
  return std::clamp(Spare() / aDivisor, mOptions.mLeast,
                    std::max(mOptions.mLeast, aMost));
}

std::size_t MemoryAccount::Share() const {
  return Bounded() ? Portion(kStreamDivisor, mOptions.mMostUnread)
                   : mOptions.mMostUnread;
}

std::size_t MemoryAccount::Allowance(const Holder& aHolder, Millis aNow) const {
  const Millis waits = aHolder.mWaitsSince < 0 ? 0 : aNow - aHolder.mWaitsSince;
  switch (aHolder.mClaim) {
    case MemoryClaim::kNone:
    case MemoryClaim::kReading:
      return std::max(kLeastRequest, Spare() / kBodyDivisor);
    case MemoryClaim::kNotRun:
    case MemoryClaim::kRepeatable:
      return aHolder.mDrains || waits >= kDrainAfter
                 ? Portion(kDrainDivisor, mOptions.mMostCollected)
                 : Share();
    case MemoryClaim::kRanOnce:
      break;
  }
  const std::size_t others = mCommitted - CommittedOf(aHolder) +
                             std::max(aHolder.mRequest, aHolder.mReserved);
  const std::size_t left =
      mOptions.mBound > others ? mOptions.mBound - others : 0;
  return std::max(mOptions.mLeast, std::min(left, mOptions.mMostCollected));
}

bool MemoryAccount::Fits(const Holder& aHolder, Millis aNow) const {
  if (aHolder.mClaim > MemoryClaim::kReading) {
    // Once nothing is read the window fills.
    const std::size_t arrived =
        aHolder.mHeld[static_cast<std::size_t>(HeldKind::kArrived)];
    const std::size_t window = arrived > 0 ? 0 : mOptions.mWindow;
    return aHolder.mAnswer + window + kRead <= Allowance(aHolder, aNow);
  }
  return aHolder.mRequest + kRead <=
         std::max(aHolder.mReserved, Allowance(aHolder, aNow));
}

bool MemoryAccount::MayReadOn(std::uint64_t aHolder, Millis aNow) {
  const auto it = mHolders.find(aHolder);
  if (it == mHolders.end()) {
    return true;
  }
  Holder& holder = it->second;
  if (!Bounded()) {
    return holder.mHeld[static_cast<std::size_t>(HeldKind::kUnread)] <=
           mOptions.mMostUnread;
  }
  if (Fits(holder, aNow)) {
    return true;
  }
  if (mWaiting.insert(aHolder).second) {
    holder.mWaitsSince = aNow;
  }
  return false;
}

bool MemoryAccount::MayCollect(std::uint64_t aHolder) const {
  const auto it = mHolders.find(aHolder);
  if (it == mHolders.end()) {
    return true;
  }
  const Holder& holder = it->second;
  if (!Bounded()) {
    return holder.mHeld[static_cast<std::size_t>(HeldKind::kPartial)] <=
           mOptions.mMostCollected;
  }
  // Where it may not, nothing is read for a while, and the window fills.
  return holder.mAnswer + mOptions.mWindow + kRead <=
         Portion(kCollectDivisor, mOptions.mMostCollected);
}

MemoryOrders MemoryAccount::Tick(Millis aNow) {
  MemoryOrders orders;
  if (!Bounded()) {
    return orders;
  }
  orders.mCut = ChooseCuts(aNow);
  for (auto it = mWaiting.begin(); it != mWaiting.end();) {
    Holder& holder = mHolders.at(*it);
    if (!Fits(holder, aNow)) {
      ++it;
      continue;
    }
    holder.mDrains = holder.mDrains || aNow - holder.mWaitsSince >= kDrainAfter;
    holder.mWaitsSince = -1;
    orders.mReadOn.push_back(*it);
    it = mWaiting.erase(it);
  }
  return orders;
}

bool MemoryAccount::MayCut(const Holder& aHolder, Millis aNow) const {
  const Millis still = aNow - aHolder.mStillSince;
  const auto held = [&aHolder](HeldKind aKind) {
    return aHolder.mHeld[static_cast<std::size_t>(aKind)];
  };
  switch (aHolder.mClaim) {
    case MemoryClaim::kNotRun:
      // It waits for an upstream: that is not its caller's doing.
      return false;
    case MemoryClaim::kNone:
    case MemoryClaim::kReading:
      return held(HeldKind::kReading) + held(HeldKind::kUnread) > 0 &&
             still >= kStillAfter;
    case MemoryClaim::kRepeatable:
      return held(HeldKind::kUnread) > 0 && still >= kStillAfter;
    case MemoryClaim::kRanOnce:
      return held(HeldKind::kUnread) > 0 && still >= kOnceStillAfter &&
             static_cast<double>(mCommitted) >=
                 kOncePart * static_cast<double>(mOptions.mBound);
  }
  return false;
}

std::vector<std::uint64_t> MemoryAccount::ChooseStuckReader(Millis aNow) const {
  // Requests that wait for each other's room: one has to come back later, so
  // that the others become whole.
  std::uint64_t stuck = 0;
  std::size_t most = 0;
  for (std::uint64_t id : mWaiting) {
    const Holder& holder = mHolders.at(id);
    const bool mayEnd = holder.mClaim <= MemoryClaim::kReading &&
                        aNow - holder.mWaitsSince >= kStillAfter;
    if (mayEnd && holder.mRequest > most) {
      most = holder.mRequest;
      stuck = id;
    }
  }
  return stuck == 0 ? std::vector<std::uint64_t>()
                    : std::vector<std::uint64_t>{stuck};
}

std::vector<std::uint64_t> MemoryAccount::ChooseCuts(Millis aNow) const {
  if (!Tight()) {
    return ChooseStuckReader(aNow);
  }
  std::vector<std::uint64_t> cuts;
  struct Candidate {
    bool mOnce;
    double mWeight;
    std::uint64_t mHolder;
  };
  std::vector<Candidate> candidates;
  for (const auto& [id, holder] : mHolders) {
    if (MayCut(holder, aNow)) {
      candidates.push_back({holder.mClaim == MemoryClaim::kRanOnce,
                            static_cast<double>(CommittedOf(holder)) *
                                static_cast<double>(aNow - holder.mStillSince),
                            id});
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& aLeft, const Candidate& aRight) {
              return aLeft.mOnce != aRight.mOnce
                         ? !aLeft.mOnce
                         : aLeft.mWeight > aRight.mWeight;
            });
  // Down to a little room, or the next read of anyone is a cut again.
  const std::size_t shared = SharedPart();
  std::size_t over = mCommitted - shared + shared / kCollectDivisor;
  for (const Candidate& candidate : candidates) {
    const bool once = candidate.mOnce && !cuts.empty();
    if (over == 0 || once || cuts.size() >= kMostCuts) {
      break;
    }
    const std::size_t freed = CommittedOf(mHolders.at(candidate.mHolder));
    over -= std::min(over, freed);
    cuts.push_back(candidate.mHolder);
  }
  return cuts;
}

std::size_t MemoryAccount::Held(HeldKind aKind) const {
  return mHeldByKind[static_cast<std::size_t>(aKind)];
}

std::size_t MemoryAccount::HeldFor(std::uint64_t aHolder) const {
  const auto it = mHolders.find(aHolder);
  return it == mHolders.end() ? 0 : it->second.mRequest + it->second.mAnswer;
}

}  // namespace spindleweir
