/// The memory that a process holds for others: for each caller's connection
/// what of its request, of the calls made for it and of its answer has not
/// moved on yet. Decides who may bring more, who waits, whom to refuse and
/// whom to cut. All sizes in bytes; the time comes with each call.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// Where held bytes stand.
enum class BufferKind {
  kReading,  ///< A request that is being read.
  kBody,     ///< A whole request, kept for attempts.
  kUnsent,   ///< Towards an upstream that has not taken it.
  kPartial,  ///< Of an answer that is collected before it is handed on.
  kArrived,  ///< What may have come from an upstream that is not read.
  kUnread,   ///< Towards a caller that has not taken it.
};
inline constexpr std::size_t kBufferKinds = 6;
/// The kind as it stands in counters.
const char* NameOf(BufferKind aKind);

/// What would be lost with a connection; later ones are kept longer.
enum class EvictionClass {
  kIdle,          ///< Between requests.
  kReading,       ///< A request is being read.
  kNotSent,       ///< It is whole; nothing was sent to an upstream.
  kRetryable,     ///< May have run, and may be sent again.
  kNotRetryable,  ///< May have run, and may not be sent again.
};

/// The bounds of one process.
struct MemoryBudgetOptions {
  /// Of all that is held; 0: each connection has mMaxUnread, and nothing
  /// bounds them together.
  std::size_t mMaxBytes = 0;
  /// What each request that was let in may hold whatever others do: a window,
  /// and a read of each side (4 KB).
  std::size_t mMinPerRequest = 16 * 1024;
  /// Of a stream's events: 500 of 500 bytes, about 10 s of a fast engine.
  std::size_t mMaxUnread = 256 * 1024;
  /// Of one answer that is collected, or drained for a slow caller.
  std::size_t mMaxCollected = 8 * 1024 * 1024;
  /// What a connection may have received unread, or sent and not had taken, in
  /// the system's buffers; 0: as the system likes.
  std::size_t mSocketBuffer = 0;

  /// ForMemory connections of callers and calls to upstreams together; 0:
  /// unbounded.
  std::size_t mMaxDescriptors = 0;

  /// ForMemory a process that has so much memory; 0: unbounded.
  static MemoryBudgetOptions ForMemory(std::size_t aMemory);
};

/// Who has to be told something.
struct MemoryActions {
  std::vector<std::uint64_t> mResume;  ///< May bring more again.
  std::vector<std::uint64_t> mEvict;   ///< Are to be ended now.
};

/// The account of one process. Single-threaded.
class MemoryBudget {
 public:
  explicit MemoryBudget(MemoryBudgetOptions aOptions);

  const MemoryBudgetOptions& Options() const { return mOptions; }
  bool Bounded() const { return mOptions.mMaxBytes > 0; }

  /// A connection begins; returns its number, from 1.
  std::uint64_t Open(Millis aNow);
  /// It is gone with all that was held for it.
  void Close(std::uint64_t aConnection);

  /// So much of a kind is held for it now.
  void SetHeld(std::uint64_t aConnection, BufferKind aKind, std::size_t aBytes);
  /// Its caller sent or took so much.
  void RecordProgress(std::uint64_t aConnection, std::size_t aBytes,
                      Millis aNow);
  void SetEvictionClass(std::uint64_t aConnection, EvictionClass aClass,
                        Millis aNow);

  /// Whether a request that takes so many bytes, and the least of its answer,
  /// can be let in beside what is held; if not it is refused at notRetryable,
  /// as not run.
  bool CanAdmit(std::uint64_t aConnection, std::size_t aBytes) const;
  /// The same, and keeps room for the request until its claim is kIdle again.
  bool Reserve(std::uint64_t aConnection, std::size_t aBytes);
  /// Whether a call to an upstream finds a descriptor.
  bool HasDescriptorForCall() const;
  /// A call for a connection begins (1) or ends (-1).
  void AddCall(std::uint64_t aConnection, int aSign);
  /// When who was refused should come back. aRandom: 0 to 1.
  static Millis RetryAfter(double aRandom);

  /// Whether more may be read for it. If not it waits: Tick() tells.
  bool MayReadMore(std::uint64_t aConnection, Millis aNow);
  /// The same for an answer that is collected, without waiting.
  bool MayCollect(std::uint64_t aConnection) const;

  /// Looks at who waits and who stands stalled. To be called each kTickInterval
  /// while NeedsTicks().
  MemoryActions Tick(Millis aNow);
  static constexpr Millis kTickInterval = 50;
  /// Whether somebody waits, or shares are down to the least.
  bool NeedsTicks() const { return !mWaiting.empty() || IsUnderPressure(); }
  bool IsUnderPressure() const;

  std::size_t Held() const { return mHeld; }
  std::size_t Held(BufferKind aKind) const;
  std::size_t BytesHeldFor(std::uint64_t aConnection) const;
  /// With the least of each request that was let in.
  std::size_t Committed() const { return mCommitted; }
  /// What a stream's events may take at the moment.
  std::size_t StreamShare() const;
  std::size_t Connections() const { return mConnections.size(); }
  std::size_t WaitingConnections() const { return mWaiting.size(); }

 private:
  struct Connection {
    std::array<std::size_t, kBufferKinds> mHeld{};
    std::size_t mRequestBytes = 0;   ///< Of it, on the way to upstreams.
    std::size_t mAnswerBytes = 0;    ///< And on the way back.
    std::size_t mReservedBytes = 0;  ///< ForMemory the request.
    int mCalls = 0;                  ///< To upstreams, under way.
    EvictionClass mClass = EvictionClass::kIdle;
    std::size_t mProgressBytes = 0;  ///< Since mStalledSince.
    Millis mStalledSince = 0;
    Millis mWaitingSince = -1;
    bool mDraining = false;  ///< Its upstream waited for long.
  };

  /// What a call brings before it can be stopped: a read, and its window.
  std::size_t IncomingReserve(const Connection& aConnection) const;
  std::size_t CommittedOf(const Connection& aConnection) const;
  std::size_t FreeShared() const;
  std::size_t SharedPart() const;
  std::size_t PortionOfFree(std::size_t aDivisor, std::size_t aMax) const;
  /// Whether one read more has room.
  bool HasRoomForRead(const Connection& aConnection, Millis aNow) const;
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
