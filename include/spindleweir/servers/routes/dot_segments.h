/// The segments . and .. of a path, also where their dots are written as %2e.
#pragma once

#include <string>
#include <string_view>

namespace spindleweir {

/// Whether a path has such segments.
bool HasDotSegments(std::string_view aPath);

/// The path that they lead to (RFC 3986, 5.2.4). Above the root is the root.
std::string WithoutDotSegments(std::string_view aPath);

}  // namespace spindleweir
