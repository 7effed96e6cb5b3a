/// How a router has another one forward a call to an upstream: the same HTTP
/// request, with headers that name the upstream, and its answer, marked as the
/// upstream's. An answer without the mark comes from the forwarder: it has sent
/// nothing to the upstream.
#pragma once

#include <optional>
#include <string>

#include "spindleweir/drivers/http_message.h"

namespace spindleweir {

/// What the forwarder is asked to do, besides the request itself.
struct ForwardingFacts {
  std::string mKey;       ///< Of the cluster.
  std::string mInstance;  ///< The upstream.
  /// Only find out whether the upstream can be reached.
  bool mOnlyConnect = false;
};

/// Why a forwarder sent nothing.
enum class ForwardingRefusal {
  kUnreachable,  ///< It reaches other upstreams, but not this one.
  kRefused,      ///< The same, and this one refused its connection.
  kCutOff,       ///< It may have lost its own links.
  kBusy,         ///< It takes no more calls at present, or not from here.
};

/// The refusal's name in messages and logs.
const char* NameOf(ForwardingRefusal aRefusal);

/// The result of a call that only connects, on its way back.
inline constexpr int kForwardingConnected = 204;

/// Sets the headers of aFacts, in place of any of the same names.
void AddForwardingFacts(const ForwardingFacts& aFacts, HttpHeaders& aHeaders);
/// Reads and removes the headers of AddForwardingFacts(); nullopt if they are
/// missing.
std::optional<ForwardingFacts> TakeForwardingFacts(HttpHeaders& aHeaders);

/// Marks an answer as the upstream's.
void MarkForwarded(HttpHeaders& aHeaders);
/// Returns whether the answer has the mark, and removes it.
bool TakeForwardedMark(HttpHeaders& aHeaders);

HttpHeaders WriteForwardingRefusal(ForwardingRefusal aRefusal);
/// kBusy if the answer doesn't say.
ForwardingRefusal ReadForwardingRefusal(const HttpHeaders& aHeaders);

}  // namespace spindleweir
