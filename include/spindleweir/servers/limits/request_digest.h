/// What makes two requests the same request, though each comes under an id of
/// its own and perhaps at another VM.
#pragma once

#include <string>
#include <string_view>

namespace spindleweir {

/// The parts of a request that say what is asked for, and for whom.
struct RequestParts {
  std::string_view mWorkspace;  ///< Empty: of no workspace.
  std::string_view mHost;
  std::string_view mTarget;  ///< Path and query.
  std::string_view mBody;
};

/// A digest of the parts, as hexadecimal digits. Of SHA-256, since callers
/// choose what goes in: nobody can make a request that counts as another's.
std::string RequestDigest(const RequestParts& aParts);

}  // namespace spindleweir
