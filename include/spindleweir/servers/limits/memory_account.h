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
enum class HeldKind {
  kReading,  ///< A request that is being read.
  kBody,     ///< A whole request, kept for attempts.
  kUnsent,   ///< Towards an upstream that has not taken it.
  kPartial,  ///< Of an answer that is collected before it is handed on.
  kArrived,  ///< What may have come from an upstream that is not read.
  kUnread,   ///< Towards a caller that has not taken it.
};
inline constexpr std::size_t kHeldKinds = 6;
/// The kind as it stands in counters.
const char* NameOf(HeldKind aKind);

/// What would be lost with a connection; later ones are kept longer.
enum class MemoryClaim {
  kNone,        ///< Between requests.
  kReading,     ///< A request is being read.
  kNotRun,      ///< It is whole; nothing was sent to an upstream.
  kRepeatable,  ///< May have run, and may be sent again.
  kRanOnce,     ///< May have run, and may not be sent again.
};

/// The bounds of one process.
struct MemoryAccountOptions {
  /// Of all that is held; 0: each connection has mMostUnread, and nothing
  /// bounds them together.
  std::size_t mBound = 0;
  /// What each request that was let in may hold whatever others do: a window,
  /// and a read of each side (4 KB).
  std::size_t mLeast = 16 * 1024;
  /// Of a stream's events: 500 of 500 bytes, about 10 s of a fast engine.
  std::size_t mMostUnread = 256 * 1024;
  /// Of one answer that is collected, or drained for a slow caller.
  std::size_t mMostCollected = 8 * 1024 * 1024;
  /// What a connection may have received unread, or sent and not had taken, in
  /// the system's buffers; 0: as the system likes.
  std::size_t mWindow = 0;

  /// For connections of callers and calls to upstreams together; 0: unbounded.
  std::size_t mDescriptors = 0;

  /// For a process that has so much memory; 0: unbounded.
  static MemoryAccountOptions For(std::size_t aMemory);
};

/// Who has to be told something.
struct MemoryOrders {
  std::vector<std::uint64_t> mReadOn;  ///< May bring more again.
  std::vector<std::uint64_t> mCut;     ///< Are to be ended now.
};

/// The account of one process. Single-threaded.
class MemoryAccount {
 public:
  explicit MemoryAccount(MemoryAccountOptions aOptions);

  const MemoryAccountOptions& Options() const { return mOptions; }
  bool Bounded() const { return mOptions.mBound > 0; }

  /// A connection begins; returns its number, from 1.
  std::uint64_t Open(Millis aNow);
  /// It is gone with all that was held for it.
  void Close(std::uint64_t aHolder);

  /// So much of a kind is held for it now.
  void Set(std::uint64_t aHolder, HeldKind aKind, std::size_t aBytes);
  /// Its caller sent or took so much.
  void Moved(std::uint64_t aHolder, std::size_t aBytes, Millis aNow);
  void SetClaim(std::uint64_t aHolder, MemoryClaim aClaim, Millis aNow);

  /// Whether a request that takes so many bytes, and the least of its answer,
  /// can be let in beside what is held; if not it is refused at once, as not
  /// run.
  bool HasRoomFor(std::uint64_t aHolder, std::size_t aBytes) const;
  /// The same, and keeps room for the request until its claim is kNone again.
  bool Reserve(std::uint64_t aHolder, std::size_t aBytes);
  /// Whether a call to an upstream finds a descriptor.
  bool HasRoomForCall() const;
  /// A call begins (1) or ends (-1).
  void AddCall(int aSign) { mCalls += aSign; }
  /// When who was refused should come back. aRandom: 0 to 1.
  static Millis ReturnAfter(double aRandom);

  /// Whether more may be read for it. If not it waits: Tick() tells.
  bool MayReadOn(std::uint64_t aHolder, Millis aNow);
  /// The same for an answer that is collected, without waiting.
  bool MayCollect(std::uint64_t aHolder) const;

  /// Looks at who waits and who stands still. To be called each kTick while
  /// Busy().
  MemoryOrders Tick(Millis aNow);
  static constexpr Millis kTick = 50;
  /// Whether somebody waits, or shares are down to the least.
  bool Busy() const { return !mWaiting.empty() || Tight(); }
  bool Tight() const;

  std::size_t Held() const { return mHeld; }
  std::size_t Held(HeldKind aKind) const;
  std::size_t HeldFor(std::uint64_t aHolder) const;
  /// With the least of each request that was let in.
  std::size_t Committed() const { return mCommitted; }
  /// What a stream's events may take at the moment.
  std::size_t Share() const;
  std::size_t Holders() const { return mHolders.size(); }
  std::size_t Waiting() const { return mWaiting.size(); }

 private:
  struct Holder {
    std::array<std::size_t, kHeldKinds> mHeld{};
    std::size_t mRequest = 0;   ///< Of it, on the way to upstreams.
    std::size_t mAnswer = 0;    ///< And on the way back.
    std::size_t mReserved = 0;  ///< For the request.
    MemoryClaim mClaim = MemoryClaim::kNone;
    std::size_t mMovedBytes = 0;  ///< Since mStillSince.
    Millis mStillSince = 0;
    Millis mWaitsSince = -1;
    bool mDrains = false;  ///< Its upstream waited for long.
  };

  std::size_t CommittedOf(const Holder& aHolder) const;
  std::size_t Spare() const;
  std::size_t SharedPart() const;
  std::size_t Portion(std::size_t aDivisor, std::size_t aMost) const;
  /// Whether one read more has room.
  bool Fits(const Holder& aHolder, Millis aNow) const;
  std::size_t Allowance(const Holder& aHolder, Millis aNow) const;
  std::vector<std::uint64_t> ChooseCuts(Millis aNow) const;
  std::vector<std::uint64_t> ChooseStuckReader(Millis aNow) const;
  bool MayCut(const Holder& aHolder, Millis aNow) const;

  MemoryAccountOptions mOptions;
  std::map<std::uint64_t, Holder> mHolders;
  std::set<std::uint64_t> mWaiting;
  std::array<std::size_t, kHeldKinds> mHeldByKind{};
  std::size_t mHeld = 0;
  std::size_t mCommitted = 0;
  std::int64_t mCalls = 0;
  std::uint64_t mNext = 1;
};

}  // namespace spindleweir
