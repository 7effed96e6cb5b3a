#include "spindleweir/servers/membership/upstream_check.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>

#include "spindleweir/core/settings.h"

namespace spindleweir {

namespace {

/// Names are far shorter; a longer one would not fit into a header.
constexpr std::size_t kMaxNameBytes = 256;
/// Published models have some 130 layers. Routers allocate a list for each
/// layer that any engine holds: 48 GB at 2^31 layers.
constexpr int kMaxLayers = 10000;
/// Ages are added to and subtracted from times. Reported ages are below a
/// minute, unless the sending process was suspended.
constexpr Millis kMaxAge = Millis{30} * 24 * 3600 * 1000;
constexpr Millis kLogInterval = 10000;

[[noreturn]] void Refuse(const std::string& aWhy) {
  throw Error(ResultCode::kBadHeartbeat, aWhy);
}

bool IsControlCharacter(char aByte) {
  return static_cast<unsigned char>(aByte) < 0x20 || aByte == 0x7f;
}

void RequireName(std::string_view aName, const char* aWhat) {
  const bool good =
      !aName.empty() && aName.size() <= kMaxNameBytes &&
      std::none_of(aName.begin(), aName.end(), IsControlCharacter);
  if (!good) {
    Refuse(std::string(aWhat) +
           " must be 1 to 256 bytes without control characters");
  }
}

void RequireNotNegative(std::int64_t aValue, const char* aWhat) {
  if (aValue < 0) {
    Refuse(std::string(aWhat) + " must not be negative");
  }
}

/// Checks the fields by which reports of one instance are ordered.
template <class Report>
void RequireOrderFields(const Report& aReport) {
  RequireInstance(aReport.mInstance);
  RequireNotNegative(aReport.mSequence, "the sequence number");
  RequireNotNegative(aReport.mStart, "the start");
}

bool IsIp(const std::string& aHost) {
  std::array<unsigned char, sizeof(in6_addr)> number{};
  const bool bracketed = aHost.starts_with('[') && aHost.ends_with(']');
  const std::string host =
      bracketed ? aHost.substr(1, aHost.size() - 2) : aHost;
  return inet_pton(bracketed ? AF_INET6 : AF_INET, host.c_str(),
                   number.data()) == 1;
}

void RequireAddress(const std::string& aAddress) {
  Endpoint endpoint;
  try {
    endpoint = ParseEndpoint(aAddress, "the address");
  } catch (const Error& error) {
    Refuse(error.what());
  }
  if (endpoint.mPort == 0 || !IsIp(endpoint.mHost)) {
    Refuse("the address must be IP:PORT, not \"" + aAddress + "\"");
  }
}

}  // namespace

void RequireAge(Millis aAge) {
  RequireNotNegative(aAge, "the time since it was last seen");
  if (aAge > kMaxAge) {
    Refuse("the time since it was last seen must be at most 30 days");
  }
}

void RequireInstance(std::string_view aInstance) {
  const bool good =
      !aInstance.empty() && aInstance.size() <= kMaxNameBytes &&
      std::all_of(aInstance.begin(), aInstance.end(),
                  [](char aByte) { return aByte > ' ' && aByte < 0x7f; });
  if (!good) {
    Refuse(
        "the instance must be 1 to 256 printable ASCII characters without "
        "spaces");
  }
}

void RequireUsable(const UpstreamRecord& aRecord) {
  RequireOrderFields(aRecord);
  RequireAge(aRecord.mLastSeenAgo);
  if (aRecord.mState < UpstreamState::kReady ||
      aRecord.mState > UpstreamState::kGone) {
    Refuse("the state must be from 0 to 3");
  }
  if (aRecord.mState == UpstreamState::kGone) {
    return;
  }
  RequireName(aRecord.mService, "the service");
  RequireName(aRecord.mZone, "the zone");
  if (!aRecord.mKind.empty()) {
    RequireName(aRecord.mKind, "the kind");
  }
  RequireNotNegative(aRecord.mSlots, "the number of slots");
  const LayerRange& layers = aRecord.mLayers;
  const bool none = layers == LayerRange{};
  const bool good = layers.mFrom >= 0 && layers.mFrom < layers.mTo &&
                    layers.mTo <= kMaxLayers;
  if (!none && !good) {
    Refuse("layers must be a range with 0 <= from < to <= 10000");
  }
  RequireAddress(aRecord.mAddress);
}

void RequireUsable(const UpstreamHeartbeat& aHeartbeat) {
  RequireOrderFields(aHeartbeat);
  RequireAge(aHeartbeat.mLastSeenAgo);
}

void RequireUsable(const SilentUpstream& aSilent) {
  RequireOrderFields(aSilent);
}

InvalidMessageLogLimiter::Decision InvalidMessageLogLimiter::OnInvalidMessage(
    Millis aNow) {
  if (mLoggedAt >= 0 && aNow - mLoggedAt < kLogInterval) {
    mSuppressed++;
    return {};
  }
  mLoggedAt = aNow;
  const Decision turn{.mShouldLog = true, .mSuppressed = mSuppressed};
  mSuppressed = 0;
  return turn;
}

}  // namespace spindleweir
