/// Compression of long texts for the log, the disk and messages between
/// processes: zlib's deflate, encoded in base64 after a prefix.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace spindleweir {

/// Maximum length of a text that the processes accept from each other.
inline constexpr std::size_t kMaxUnpackedBytes = 64 * 1024 * 1024;

/// Compresses a text; one that would not become shorter is returned as it is.
std::string Pack(std::string_view aText);

/// Returns the original text; a text without the prefix is returned as it is.
/// Throws kDataCorrupt if it is malformed or longer than aMaxBytes.
std::string Unpack(std::string_view aPacked, std::size_t aMaxBytes);

}  // namespace spindleweir
