/// Identifies equal requests that have different request ids and may arrive at
/// different VMs.
#pragma once

#include <string>
#include <string_view>

namespace spindleweir {

/// The parts of a request that define what is requested and for which
/// workspace.
struct RequestParts {
  std::string_view mWorkspace;  ///< Empty: no workspace.
  std::string_view mHost;
  std::string_view mTarget;  ///< Path and query.
  std::string_view mBody;
};

/// Returns a digest of the parts as hexadecimal digits. It is taken from
/// SHA-256 because callers choose the input: none can construct a request that
/// has the digest of another caller's request.
std::string RequestDigest(const RequestParts& aParts);

}  // namespace spindleweir
