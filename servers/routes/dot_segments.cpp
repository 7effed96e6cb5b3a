#include "spindleweir/servers/routes/dot_segments.h"

#include <algorithm>
#include <vector>

namespace spindleweir {

namespace {

/// The segments between the slashes of a path that begins with one.
std::vector<std::string_view> SegmentsOf(std::string_view aPath) {
  std::vector<std::string_view> segments;
  while (!aPath.empty()) {
    aPath.remove_prefix(1);
    const std::size_t n = std::min(aPath.find('/'), aPath.size());
    segments.push_back(aPath.substr(0, n));
    aPath.remove_prefix(n);
  }
  return segments;
}

/// Number of dots of a segment that is . or ..; 0: it is neither.
int DotsOf(std::string_view aSegment) {
  int dots = 0;
  while (!aSegment.empty() && dots <= 2) {
    const bool isEncoded =
        aSegment.starts_with("%2e") || aSegment.starts_with("%2E");
    if (!isEncoded && aSegment.front() != '.') {
      return 0;
    }
    aSegment.remove_prefix(isEncoded ? 3 : 1);
    dots++;
  }
  return aSegment.empty() && dots <= 2 ? dots : 0;
}

}  // namespace

bool HasDotSegments(std::string_view aPath) {
  const bool mayHave = aPath.find("/.") != std::string_view::npos ||
                       aPath.find("/%") != std::string_view::npos;
  if (!mayHave) {
    return false;
  }
  const std::vector<std::string_view> segments = SegmentsOf(aPath);
  return std::any_of(
      segments.begin(), segments.end(),
      [](std::string_view aSegment) { return DotsOf(aSegment) > 0; });
}

std::string WithoutDotSegments(std::string_view aPath) {
  std::vector<std::string_view> kept;
  bool endsWithSlash = false;
  for (const std::string_view segment : SegmentsOf(aPath)) {
    const int dots = DotsOf(segment);
    endsWithSlash = dots > 0;
    if (dots == 0) {
      kept.push_back(segment);
    } else if (dots == 2 && !kept.empty()) {
      kept.pop_back();
    }
  }
  std::string path;
  for (const std::string_view segment : kept) {
    path += '/';
    path += segment;
  }
  return endsWithSlash || path.empty() ? path + '/' : path;
}

}  // namespace spindleweir
