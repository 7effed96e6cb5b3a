/// Small files of a control with a digest in front, so that a torn or damaged
/// one is recognized.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace spindleweir {

/// The content of a file that stores aText: its digest, a space and aText.
std::string WithDigest(std::string_view aText);

/// The text that a file stores; none if the file is missing or does not match
/// its digest.
std::optional<std::string> ReadCheckedFile(const std::string& aPath);

}  // namespace spindleweir
