/// What processes tell each other of crashes of upstreams: one record for each
/// subject, which is a whole request or a part of prompts.
#pragma once

#include <json/value.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "spindleweir/core/clock.h"
#include "spindleweir/servers/membership/upstream_check.h"

namespace spindleweir {

/// A crash of an upstream with which a given subject was lost.
struct ObservedCrash {
  std::string mIncarnation;  ///< Of the upstream: see IncarnationName.
  Millis mAgo = 0;           ///< Milliseconds since the crash was observed.
  /// The subject was answered later, so it did not cause the crash. Once set,
  /// the flag is never cleared.
  bool mExcused = false;
  /// How long the attempt that began last had run. Not used for requests.
  Millis mRan = 0;
  /// The router that observed it; of several, the greatest name. Not used for
  /// requests.
  std::string mObserver;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("incarnation", mIncarnation);
    aCodec.Sparse("ago_ms", mAgo);
    aCodec.Sparse("excused", mExcused);
    aCodec.Sparse("ran_ms", mRan);
    aCodec.Sparse("by", mObserver);
  }
};

/// More than the number that bars a subject add no information, and the limit
/// keeps a request that completes again and again from being barred by further
/// crashes.
inline constexpr std::size_t kMaxCrashesPerRecord = 16;

/// What is known of one subject, as processes exchange it. Records only grow,
/// so they may arrive late, twice and in any order.
struct CrashRecord {
  std::string mSubject;  ///< See RequestDigest and PartSubject.
  std::vector<ObservedCrash> mCrashes;
  /// Some router has seen the subject answered, be it before the crashes. Once
  /// set, the flag is never cleared. Not used for requests.
  bool mProven = false;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("content", mSubject);
    aCodec.Required("crashes", mCrashes);
    aCodec.Sparse("proven", mProven);
  }
};

/// Identifies one start of an upstream: instance and start number.
std::string IncarnationName(const std::string& aInstance, std::int64_t aStart);

/// Throws kBadHeartbeat if the digest, an incarnation, an age or the number of
/// crashes is out of range.
void RequireUsable(const CrashRecord& aRecord);

/// Parses the records of a message. Invalid ones are left out and passed to
/// aOnBad.
std::vector<CrashRecord> ReadCrashes(const std::vector<Json::Value>& aRows,
                                     const InvalidRowHook& aOnBad);

/// A crash that nothing has excused, by the clock of this process.
struct OpenCrash {
  std::string mIncarnation;
  Millis mAt = 0;
  Millis mStartedAt = 0;  ///< Of the attempt that began last.
  std::string mObserver;
};

/// The number of crashes that followed each other: the attempt under each of
/// them began after the one before. Crashes of one moment (a rack, a release)
/// are one round, however many they are.
std::size_t CrashRounds(std::span<const OpenCrash> aCrashes);

}  // namespace spindleweir
