/// Long texts made short for the log, the disk and the way between processes:
/// zlib's deflate, as text in base64 behind a mark.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace spindleweir {

/// The longest text that our processes take from one another.
inline constexpr std::size_t kMaxUnpackedBytes = 64 * 1024 * 1024;

/// Packs a text; one that would not become shorter stays as it is.
std::string Pack(std::string_view aText);

/// The text that was packed; a text without the mark is given back as it is.
/// Throws kDataCorrupt where it cannot be read or is longer than aMost bytes.
std::string Unpack(std::string_view aPacked, std::size_t aMost);

}  // namespace spindleweir
