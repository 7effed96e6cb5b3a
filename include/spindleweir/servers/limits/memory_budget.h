/// Accounts for the memory that a process holds for its callers: for each
/// caller's connection, what is buffered of its request, of the calls made for
/// it and of its answer. Decides which connections may read more, which have to
/// wait, which requests are refused and which connections are evicted. All
/// sizes are in bytes; the time is passed to each call.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// What held bytes are part of.
enum class BufferKind {
  kReading,  ///< A request that is being read.
  kBody,     ///< A complete request, stored for further attempts.
  kUnsent,   ///< Output to an upstream that it has not accepted yet.
  kPartial,  ///< An answer that is collected before it is forwarded.
  kArrived,  ///< Input from an upstream that may have arrived and is not read.
  kUnread,   ///< Output to a caller that it has not accepted yet.
};
inline constexpr std::size_t kBufferKinds = 6;
/// The kind's name in metrics.
const char* NameOf(BufferKind aKind);

/// What evicting a connection would lose. Connections of later classes are
/// retained longer.
enum class EvictionClass {
  kIdle,          ///< Between requests.
  kReading,       ///< A request is being read.
  kNotSent,       ///< The request is complete; no upstream has received it.
  kRetryable,     ///< The request may have run and may be sent again.
  kNotRetryable,  ///< The request may have run and may not be sent again.
};

/// The limits of one process.
struct MemoryBudgetOptions {
  /// Limit of all held bytes together. 0: each connection may hold mMaxUnread,
  /// and there is no common limit.
  std::size_t mMaxBytes = 0;
  /// What each admitted request may hold whatever others hold: a socket buffer,
  /// and one read (4 KB) of each side.
  std::size_t mMinPerRequest = 16 * 1024;
  /// Limit of a stream's unread events: 500 events of 500 bytes, about 10 s of
  /// a fast engine.
  std::size_t mMaxUnread = 256 * 1024;
  /// Limit of one answer that is collected, or drained for a slow caller.
  std::size_t mMaxCollected = 8 * 1024 * 1024;
  /// Size of the system's buffers of a connection, for unread input and for
  /// output that the peer has not acknowledged; 0: the system's default.
  std::size_t mSocketBuffer = 0;

  /// Limit of callers' connections and calls to upstreams together;
  /// 0: unlimited.
  std::size_t mMaxDescriptors = 0;

  /// The limits for a process with aMemory bytes of memory; 0: unlimited.
  static MemoryBudgetOptions ForMemory(std::size_t aMemory);
};

/// The connections for which something has to be done.
struct MemoryActions {
  std::vector<std::uint64_t> mResume;  ///< Reading for them may go on.
  std::vector<std::uint64_t> mEvict;   ///< They are to be closed now.
};

/// The memory budget of one process. Single-threaded.
class MemoryBudget {
 public:
  explicit MemoryBudget(MemoryBudgetOptions aOptions);

  const MemoryBudgetOptions& Options() const { return mOptions; }
  bool Bounded() const { return mOptions.mMaxBytes > 0; }

  /// Adds a connection; returns its number, from 1.
  std::uint64_t Open(Millis aNow);
  /// Removes a connection with all that was held for it.
  void Close(std::uint64_t aConnection);

  /// Sets the number of bytes of a kind that are held for a connection.
  void SetHeld(std::uint64_t aConnection, BufferKind aKind, std::size_t aBytes);
  /// The caller sent or accepted aBytes.
  void RecordProgress(std::uint64_t aConnection, std::size_t aBytes,
                      Millis aNow);
  void SetEvictionClass(std::uint64_t aConnection, EvictionClass aClass,
                        Millis aNow);

  /// Whether a request of aBytes, with the minimum for its answer, can be
  /// admitted beside what is held. If not, it is to be refused at once, as not
  /// run.
  bool CanAdmit(std::uint64_t aConnection, std::size_t aBytes) const;
  /// The same; if so, reserves room for the request until the connection's
  /// class is kIdle again.
  bool Reserve(std::uint64_t aConnection, std::size_t aBytes);
  /// Whether a descriptor is free for a call to an upstream.
  bool HasDescriptorForCall() const;
  /// A call for a connection begins (aSign: 1) or ends (-1).
  void AddCall(std::uint64_t aConnection, int aSign);
  /// Time after which a refused caller should retry. aRandom: from 0 to 1.
  static Millis RetryAfter(double aRandom);

  /// Whether more may be read for a connection. If not, the connection waits
  /// until Tick() returns it in mResume.
  bool MayReadMore(std::uint64_t aConnection, Millis aNow);
  /// Whether more of an answer may be collected. If not, the connection doesn't
  /// wait.
  bool MayCollect(std::uint64_t aConnection) const;

  /// Checks waiting and stalled connections. To be called each kTickInterval
  /// while NeedsTicks().
  MemoryActions Tick(Millis aNow);
  static constexpr Millis kTickInterval = 50;
  /// Whether a connection waits, or shares are down to the minimum.
  bool NeedsTicks() const { return !mWaiting.empty() || IsUnderPressure(); }
  /// Whether the shared part of the budget is used up.
  bool IsUnderPressure() const;

  std::size_t Held() const { return mHeld; }
  std::size_t Held(BufferKind aKind) const;
  std::size_t BytesHeldFor(std::uint64_t aConnection) const;
  /// Held bytes, with what is reserved for each admitted request.
  std::size_t Committed() const { return mCommitted; }
  /// What the events of a stream may hold at present.
  std::size_t StreamShare() const;
  std::size_t Connections() const { return mConnections.size(); }
  std::size_t WaitingConnections() const { return mWaiting.size(); }

 private:
  struct Connection {
    std::array<std::size_t, kBufferKinds> mHeld{};
    std::size_t mRequestBytes = 0;   ///< Held on the way to upstreams.
    std::size_t mAnswerBytes = 0;    ///< Held on the way back to the caller.
    std::size_t mReservedBytes = 0;  ///< Reserved for the request.
    int mCalls = 0;                  ///< Calls to upstreams in progress.
    EvictionClass mClass = EvictionClass::kIdle;
    std::size_t mProgressBytes = 0;  ///< Moved since mStalledSince.
    Millis mStalledSince = 0;        ///< Time of the last progress.
    Millis mWaitingSince = -1;       ///< -1: it doesn't wait.
    /// Its upstream has been unable to send for kDrainDelay, so that its answer
    /// may take a larger portion of the budget.
    bool mDraining = false;
  };

  /// What a call may bring before reading from it can be stopped: one read and
  /// its socket buffer.
  std::size_t IncomingReserve(const Connection& aConnection) const;
  std::size_t CommittedOf(const Connection& aConnection) const;
  std::size_t FreeShared() const;
  std::size_t SharedPart() const;
  std::size_t PortionOfFree(std::size_t aDivisor, std::size_t aMax) const;
  /// Whether there is room for one more read.
  bool HasRoomForRead(const Connection& aConnection, Millis aNow) const;
  /// What the connection may hold of its request or its answer, whichever is
  /// being read.
  std::size_t Allowance(const Connection& aConnection, Millis aNow) const;
  std::vector<std::uint64_t> ChooseEvictions(Millis aNow) const;
  std::vector<std::uint64_t> ChooseStalledReader(Millis aNow) const;
  bool MayEvict(const Connection& aConnection, Millis aNow) const;

  MemoryBudgetOptions mOptions;
  std::map<std::uint64_t, Connection> mConnections;
  std::set<std::uint64_t> mWaiting;
  std::array<std::size_t, kBufferKinds> mHeldByKind{};
  std::size_t mHeld = 0;
  std::size_t mCommitted = 0;
  std::int64_t mCalls = 0;
  std::uint64_t mNextId = 1;
};

}  // namespace spindleweir
