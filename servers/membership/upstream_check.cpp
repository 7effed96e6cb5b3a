#include "spindleweir/servers/membership/upstream_check.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>

#include "spindleweir/core/settings.h"

namespace spindleweir {

namespace {

/// Names are far shorter; a longer one would not fit into a header either.
constexpr std::size_t kLongestName = 256;
/// Published models have some 130 layers. Routers keep a list for each layer
/// that any engine holds: at 2^31 of them, 48 GB.
constexpr int kMostLayers = 10000;
/// Ages are added and taken from times; those that are told are below a minute,
/// and more only after a standstill of the process that tells them.
constexpr Millis kOldest = Millis{30} * 24 * 3600 * 1000;
constexpr Millis kLogEvery = 10000;

[[noreturn]] void Refuse(const std::string& aWhy) {
  throw Error(ResultCode::kBadHeartbeat, aWhy);
}

bool IsControl(char aByte) {
  return static_cast<unsigned char>(aByte) < 0x20 || aByte == 0x7f;
}

void RequireName(std::string_view aName, const char* aWhat) {
  const bool good = !aName.empty() && aName.size() <= kLongestName &&
                    std::none_of(aName.begin(), aName.end(), IsControl);
  if (!good) {
    Refuse(std::string(aWhat) + " must be a name of 1 to 256 bytes");
  }
}

void RequireNotNegative(std::int64_t aValue, const char* aWhat) {
  if (aValue < 0) {
    Refuse(std::string(aWhat) + " must not be negative");
  }
}

/// What reports of one instance are ordered by.
template <class Report>
void RequireOrder(const Report& aReport) {
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
  RequireNotNegative(aAge, "the time since it was heard");
  if (aAge > kOldest) {
    Refuse("the time since it was heard must be at most 30 days");
  }
}

void RequireInstance(std::string_view aInstance) {
  const bool good =
      !aInstance.empty() && aInstance.size() <= kLongestName &&
      std::all_of(aInstance.begin(), aInstance.end(),
                  [](char aByte) { return aByte > ' ' && aByte < 0x7f; });
  if (!good) {
    Refuse("the instance must be 1 to 256 printable signs");
  }
}

void RequireUsable(const UpstreamRecord& aRecord) {
  RequireOrder(aRecord);
  RequireAge(aRecord.mLastSeenAgo);
  if (aRecord.mState < UpstreamState::kReady ||
      aRecord.mState > UpstreamState::kGone) {
    Refuse("the state is not known");
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
                    layers.mTo <= kMostLayers;
  if (!none && !good) {
    Refuse("layers must go from 0 or more to more than that, 10000 at most");
  }
  RequireAddress(aRecord.mAddress);
}

void RequireUsable(const UpstreamHeartbeat& aBeat) {
  RequireOrder(aBeat);
  RequireAge(aBeat.mLastSeenAgo);
}

void RequireUsable(const SilentUpstream& aSilent) {
  RequireOrder(aSilent);
}

InvalidMessageLogLimiter::Decision InvalidMessageLogLimiter::OnInvalidMessage(
    Millis aNow) {
  if (mLoggedAt >= 0 && aNow - mLoggedAt < kLogEvery) {
    mSuppressed++;
    return {};
  }
  mLoggedAt = aNow;
  const Decision turn{.mShouldLog = true, .mSuppressed = mSuppressed};
  mSuppressed = 0;
  return turn;
}

}  // namespace spindleweir
