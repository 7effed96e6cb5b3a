#include "spindleweir/servers/limits/memory_budget.h"

#include <algorithm>

namespace spindleweir {

namespace {

/// The budget's part of a process's memory. The rest is for the process itself
/// (10 MB), the objects of requests, and what the allocator rounds up and does
/// not return: with 3,000 slow callers a router uses 2.4 times what it holds.
constexpr double kBudgetFraction = 0.4;
/// The number of requests that can have their minimum at the same time: a
/// router accepts 3,000 connections.
constexpr std::size_t kPlannedConnections = 4096;
/// 8 KB allow 6 MB/s at a round-trip time of 1.3 ms, and 270 KB/s at 30 ms.
constexpr std::size_t kMinSocketBuffer = 8 * 1024;
constexpr std::size_t kMaxSocketBuffer = 64 * 1024;
/// Size of one read of a connection.
constexpr std::size_t kReadBytes = 4096;
/// What each request may hold while it is read: a head that arrives in two
/// reads.
constexpr std::size_t kMinRequestBytes = 2 * kReadBytes;
/// The part of the budget that shares are taken from. The rest is for the
/// minimum of requests that are admitted later: 600 requests of 24 KB in 64 MB.
constexpr double kSharedFraction = 0.75;
/// A stream's share is what is free divided by this, so that shares shrink as
/// the budget fills and all of them together do not fill it: 64 connections
/// with streams leave half of the shared part free.
constexpr std::size_t kStreamDivisor = 64;
/// The same for answers that are collected: of 48 MB, 3 MB for the first, and
/// 100 KB each for the first 460.
constexpr std::size_t kCollectDivisor = 16;
/// The same for requests that are read. They have to be complete before they
/// are sent, so a body of 4 MB must fit into 48 MB even beside others.
constexpr std::size_t kBodyDivisor = 4;
/// An answer that the upstream was unable to send for this long is drained as
/// far as there is room: upstreams cut answers that are unread for some
/// seconds.
constexpr Millis kDrainDelay = 1000;
/// Half of what is free may be used for draining: a call that is not drained
/// occupies a slot of its upstream that callers that read fast could use.
constexpr std::size_t kDrainDivisor = 2;
/// A connection that moves less than kMinProgressBytes in kStallTimeout has
/// stalled: 512 B/s. A caller on the slowest mobile link reads ten times as
/// fast; one that reads a byte per second would hold its memory for a day.
constexpr Millis kStallTimeout = 2000;
constexpr std::size_t kMinProgressBytes = 1024;
/// Answers of calls that may not be sent again are retained for this longer
/// time, and until this part of the budget is used.
constexpr Millis kNotRetryableStallTimeout = 8000;
constexpr double kNotRetryableEvictionLevel = 0.95;
/// Keeps the time of one tick under a millisecond.
constexpr std::size_t kMaxEvictionsPerTick = 64;
/// Refused callers retry after one to two seconds. Stalled connections are
/// evicted after two, so that half of the callers find room.
constexpr Millis kMinRetryAfter = 1000;
constexpr double kRetryAfterSpread = 1000;

bool IsOfRequest(BufferKind aKind) {
  return aKind == BufferKind::kReading || aKind == BufferKind::kBody ||
         aKind == BufferKind::kUnsent;
}

}  // namespace

const char* NameOf(BufferKind aKind) {
  switch (aKind) {
    case BufferKind::kReading:
      return "reading";
    case BufferKind::kBody:
      return "body";
    case BufferKind::kUnsent:
      return "unsent";
    case BufferKind::kPartial:
      return "partial";
    case BufferKind::kArrived:
      return "arrived";
    case BufferKind::kUnread:
      return "unread";
  }
  return "";
}

MemoryBudgetOptions MemoryBudgetOptions::ForMemory(std::size_t aMemory) {
  MemoryBudgetOptions options;
  if (aMemory == 0) {
    return options;
  }
  options.mMaxBytes =
      static_cast<std::size_t>(kBudgetFraction * static_cast<double>(aMemory));
  options.mSocketBuffer =
      std::clamp(options.mMaxBytes / kPlannedConnections / 2, kMinSocketBuffer,
                 kMaxSocketBuffer);
  options.mMinPerRequest = 2 * options.mSocketBuffer;
  return options;
}

MemoryBudget::MemoryBudget(MemoryBudgetOptions aOptions) : mOptions(aOptions) {}

std::uint64_t MemoryBudget::Open(Millis aNow) {
  const std::uint64_t connection = mNextId++;
  mConnections[connection].mStalledSince = aNow;
  return connection;
}

void MemoryBudget::Close(std::uint64_t aConnection) {
  const auto it = mConnections.find(aConnection);
  if (it == mConnections.end()) {
    return;
  }
  for (std::size_t i = 0; i < kBufferKinds; i++) {
    mHeldByKind[i] -= it->second.mHeld[i];
  }
  mHeld -= it->second.mRequestBytes + it->second.mAnswerBytes;
  mCommitted -= CommittedOf(it->second);
  mWaiting.erase(aConnection);
  mConnections.erase(it);
}

std::size_t MemoryBudget::IncomingReserve(const Connection& aConnection) const {
  const std::size_t arrived =
      aConnection.mHeld[static_cast<std::size_t>(BufferKind::kArrived)];
  return aConnection.mCalls > 0 && arrived == 0
             ? mOptions.mSocketBuffer + kReadBytes
             : 0;
}

std::size_t MemoryBudget::CommittedOf(const Connection& aConnection) const {
  const std::size_t answer =
      aConnection.mAnswerBytes + IncomingReserve(aConnection);
  const std::size_t minimum = aConnection.mClass < EvictionClass::kNotSent
                                  ? 0
                                  : mOptions.mMinPerRequest;
  return std::max(aConnection.mRequestBytes, aConnection.mReservedBytes) +
         std::max(answer, minimum);
}

void MemoryBudget::AddCall(std::uint64_t aConnection, int aSign) {
  mCalls += aSign;
  const auto it = mConnections.find(aConnection);
  if (it != mConnections.end()) {
    mCommitted -= CommittedOf(it->second);
    it->second.mCalls += aSign;
    mCommitted += CommittedOf(it->second);
  }
}

void MemoryBudget::SetHeld(std::uint64_t aConnection, BufferKind aKind,
                           std::size_t aBytes) {
  const auto it = mConnections.find(aConnection);
  if (it == mConnections.end()) {
    return;
  }
  Connection& connection = it->second;
  std::size_t& held = connection.mHeld[static_cast<std::size_t>(aKind)];
  std::size_t& byKind = mHeldByKind[static_cast<std::size_t>(aKind)];
  mCommitted -= CommittedOf(connection);
  byKind = byKind - held + aBytes;
  mHeld = mHeld - held + aBytes;
  std::size_t& side =
      IsOfRequest(aKind) ? connection.mRequestBytes : connection.mAnswerBytes;
  side = side - held + aBytes;
  held = aBytes;
  mCommitted += CommittedOf(connection);
}

void MemoryBudget::RecordProgress(std::uint64_t aConnection, std::size_t aBytes,
                                  Millis aNow) {
  const auto it = mConnections.find(aConnection);
  if (it == mConnections.end()) {
    return;
  }
  Connection& connection = it->second;
  connection.mProgressBytes += aBytes;
  // A caller that has accepted all there was cannot accept more.
  const bool acceptedAll =
      connection.mHeld[static_cast<std::size_t>(BufferKind::kUnread)] == 0 &&
      connection.mHeld[static_cast<std::size_t>(BufferKind::kReading)] == 0;
  if (connection.mProgressBytes >= kMinProgressBytes || acceptedAll) {
    connection.mProgressBytes = 0;
    connection.mStalledSince = aNow;
  }
}

void MemoryBudget::SetEvictionClass(std::uint64_t aConnection,
                                    EvictionClass aClass, Millis aNow) {
  const auto it = mConnections.find(aConnection);
  if (it == mConnections.end() || it->second.mClass == aClass) {
    return;
  }
  Connection& connection = it->second;
  mCommitted -= CommittedOf(connection);
  connection.mClass = aClass;
  if (aClass == EvictionClass::kIdle) {
    connection.mReservedBytes = 0;
  } else {
    connection.mReservedBytes =
        std::max(connection.mReservedBytes, kMinRequestBytes);
  }
  connection.mDraining = false;
  connection.mProgressBytes = 0;
  connection.mStalledSince = aNow;
  mCommitted += CommittedOf(connection);
}

bool MemoryBudget::CanAdmit(std::uint64_t aConnection,
                            std::size_t aBytes) const {
  const auto it = mConnections.find(aConnection);
  if (!Bounded() || it == mConnections.end()) {
    return true;
  }
  const std::size_t others = mCommitted - CommittedOf(it->second);
  const std::size_t request =
      std::max({aBytes, it->second.mRequestBytes, it->second.mReservedBytes,
                kMinRequestBytes});
  const std::size_t answer =
      std::max(it->second.mAnswerBytes, mOptions.mMinPerRequest);
  return request <=
             std::max(mOptions.mMinPerRequest, SharedPart() / kBodyDivisor) &&
         others + request + answer <= mOptions.mMaxBytes;
}

bool MemoryBudget::Reserve(std::uint64_t aConnection, std::size_t aBytes) {
  // The last read may be short, but MayReadMore() needs room for a full one.
  const std::size_t bytes = aBytes + kReadBytes;
  if (!CanAdmit(aConnection, bytes)) {
    return false;
  }
  const auto it = mConnections.find(aConnection);
  if (Bounded() && it != mConnections.end()) {
    mCommitted -= CommittedOf(it->second);
    it->second.mReservedBytes = std::max(it->second.mReservedBytes, bytes);
    mCommitted += CommittedOf(it->second);
  }
  return true;
}

bool MemoryBudget::HasDescriptorForCall() const {
  const auto calls =
      static_cast<std::size_t>(std::max<std::int64_t>(0, mCalls));
  return mOptions.mMaxDescriptors == 0 ||
         mConnections.size() + calls < mOptions.mMaxDescriptors;
}

Millis MemoryBudget::RetryAfter(double aRandom) {
  return kMinRetryAfter + static_cast<Millis>(kRetryAfterSpread * aRandom);
}

std::size_t MemoryBudget::SharedPart() const {
  return static_cast<std::size_t>(kSharedFraction *
                                  static_cast<double>(mOptions.mMaxBytes));
}

std::size_t MemoryBudget::FreeShared() const {
  const std::size_t shared = SharedPart();
  return shared > mCommitted ? shared - mCommitted : 0;
}

bool MemoryBudget::IsUnderPressure() const {
  return Bounded() && FreeShared() == 0;
}

std::size_t MemoryBudget::PortionOfFree(std::size_t aDivisor,
                                        std::size_t aMax) const {
  return std::clamp(FreeShared() / aDivisor, mOptions.mMinPerRequest,
                    std::max(mOptions.mMinPerRequest, aMax));
}

std::size_t MemoryBudget::StreamShare() const {
  return Bounded() ? PortionOfFree(kStreamDivisor, mOptions.mMaxUnread)
                   : mOptions.mMaxUnread;
}

std::size_t MemoryBudget::Allowance(const Connection& aConnection,
                                    Millis aNow) const {
  const Millis waited =
      aConnection.mWaitingSince < 0 ? 0 : aNow - aConnection.mWaitingSince;
  switch (aConnection.mClass) {
    case EvictionClass::kIdle:
    case EvictionClass::kReading:
      return std::max(kMinRequestBytes, FreeShared() / kBodyDivisor);
    case EvictionClass::kNotSent:
    case EvictionClass::kRetryable:
      return aConnection.mDraining || waited >= kDrainDelay
                 ? PortionOfFree(kDrainDivisor, mOptions.mMaxCollected)
                 : StreamShare();
    case EvictionClass::kNotRetryable:
      break;
  }
  const std::size_t others =
      mCommitted - CommittedOf(aConnection) +
      std::max(aConnection.mRequestBytes, aConnection.mReservedBytes);
  const std::size_t left =
      mOptions.mMaxBytes > others ? mOptions.mMaxBytes - others : 0;
  return std::max(mOptions.mMinPerRequest,
                  std::min(left, mOptions.mMaxCollected));
}

bool MemoryBudget::HasRoomForRead(const Connection& aConnection,
                                  Millis aNow) const {
  if (aConnection.mClass > EvictionClass::kReading) {
    // Once reading stops, the socket buffer fills.
    const std::size_t arrived =
        aConnection.mHeld[static_cast<std::size_t>(BufferKind::kArrived)];
    const std::size_t socketBuffer = arrived > 0 ? 0 : mOptions.mSocketBuffer;
    return aConnection.mAnswerBytes + socketBuffer + kReadBytes <=
           Allowance(aConnection, aNow);
  }
  return aConnection.mRequestBytes + kReadBytes <=
         std::max(aConnection.mReservedBytes, Allowance(aConnection, aNow));
}

bool MemoryBudget::MayReadMore(std::uint64_t aConnection, Millis aNow) {
  const auto it = mConnections.find(aConnection);
  if (it == mConnections.end()) {
    return true;
  }
  Connection& connection = it->second;
  if (!Bounded()) {
    return connection.mHeld[static_cast<std::size_t>(BufferKind::kUnread)] <=
           mOptions.mMaxUnread;
  }
  if (HasRoomForRead(connection, aNow)) {
    return true;
  }
  if (mWaiting.insert(aConnection).second) {
    connection.mWaitingSince = aNow;
  }
  return false;
}

bool MemoryBudget::MayCollect(std::uint64_t aConnection) const {
  const auto it = mConnections.find(aConnection);
  if (it == mConnections.end()) {
    return true;
  }
  const Connection& connection = it->second;
  if (!Bounded()) {
    return connection.mHeld[static_cast<std::size_t>(BufferKind::kPartial)] <=
           mOptions.mMaxCollected;
  }
  // If it may not, reading stops for a while, and the socket buffer fills.
  return connection.mAnswerBytes + mOptions.mSocketBuffer + kReadBytes <=
         PortionOfFree(kCollectDivisor, mOptions.mMaxCollected);
}

MemoryActions MemoryBudget::Tick(Millis aNow) {
  MemoryActions actions;
  if (!Bounded()) {
    return actions;
  }
  actions.mEvict = ChooseEvictions(aNow);
  for (auto it = mWaiting.begin(); it != mWaiting.end();) {
    Connection& connection = mConnections.at(*it);
    if (!HasRoomForRead(connection, aNow)) {
      ++it;
      continue;
    }
    connection.mDraining =
        connection.mDraining || aNow - connection.mWaitingSince >= kDrainDelay;
    connection.mWaitingSince = -1;
    actions.mResume.push_back(*it);
    it = mWaiting.erase(it);
  }
  return actions;
}

bool MemoryBudget::MayEvict(const Connection& aConnection, Millis aNow) const {
  const Millis stalled = aNow - aConnection.mStalledSince;
  const auto held = [&aConnection](BufferKind aKind) {
    return aConnection.mHeld[static_cast<std::size_t>(aKind)];
  };
  switch (aConnection.mClass) {
    case EvictionClass::kNotSent:
      // The connection waits for an upstream, not for its caller.
      return false;
    case EvictionClass::kIdle:
    case EvictionClass::kReading:
      return held(BufferKind::kReading) + held(BufferKind::kUnread) > 0 &&
             stalled >= kStallTimeout;
    case EvictionClass::kRetryable:
      return held(BufferKind::kUnread) > 0 && stalled >= kStallTimeout;
    case EvictionClass::kNotRetryable:
      return held(BufferKind::kUnread) > 0 &&
             stalled >= kNotRetryableStallTimeout &&
             static_cast<double>(mCommitted) >=
                 kNotRetryableEvictionLevel *
                     static_cast<double>(mOptions.mMaxBytes);
  }
  return false;
}

std::vector<std::uint64_t> MemoryBudget::ChooseStalledReader(
    Millis aNow) const {
  // Incomplete requests may wait for each other's room. The largest is evicted,
  // and its caller has to retry, so that the others can be completed.
  std::uint64_t stalled = 0;
  std::size_t largest = 0;
  for (std::uint64_t id : mWaiting) {
    const Connection& connection = mConnections.at(id);
    const bool mayEnd = connection.mClass <= EvictionClass::kReading &&
                        aNow - connection.mWaitingSince >= kStallTimeout;
    if (mayEnd && connection.mRequestBytes > largest) {
      largest = connection.mRequestBytes;
      stalled = id;
    }
  }
  return stalled == 0 ? std::vector<std::uint64_t>()
                      : std::vector<std::uint64_t>{stalled};
}

std::vector<std::uint64_t> MemoryBudget::ChooseEvictions(Millis aNow) const {
  if (!IsUnderPressure()) {
    return ChooseStalledReader(aNow);
  }
  std::vector<std::uint64_t> evictions;
  struct Candidate {
    bool mNotRetryable;
    double mWeight;
    std::uint64_t mConnection;
  };
  std::vector<Candidate> candidates;
  for (const auto& [id, connection] : mConnections) {
    if (MayEvict(connection, aNow)) {
      candidates.push_back(
          {connection.mClass == EvictionClass::kNotRetryable,
           static_cast<double>(CommittedOf(connection)) *
               static_cast<double>(aNow - connection.mStalledSince),
           id});
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& aLeft, const Candidate& aRight) {
              return aLeft.mNotRetryable != aRight.mNotRetryable
                         ? !aLeft.mNotRetryable
                         : aLeft.mWeight > aRight.mWeight;
            });
  // Evicts until some room is free; otherwise the next read of any connection
  // would cause an eviction again.
  const std::size_t shared = SharedPart();
  std::size_t excess = mCommitted - shared + shared / kCollectDivisor;
  for (const Candidate& candidate : candidates) {
    const bool onlyNotRetryableLeft =
        candidate.mNotRetryable && !evictions.empty();
    if (excess == 0 || onlyNotRetryableLeft ||
        evictions.size() >= kMaxEvictionsPerTick) {
      break;
    }
    const std::size_t freed =
        CommittedOf(mConnections.at(candidate.mConnection));
    excess -= std::min(excess, freed);
    evictions.push_back(candidate.mConnection);
  }
  return evictions;
}

std::size_t MemoryBudget::Held(BufferKind aKind) const {
  return mHeldByKind[static_cast<std::size_t>(aKind)];
}

std::size_t MemoryBudget::BytesHeldFor(std::uint64_t aConnection) const {
  const auto it = mConnections.find(aConnection);
  return it == mConnections.end()
             ? 0
             : it->second.mRequestBytes + it->second.mAnswerBytes;
}

}  // namespace spindleweir
