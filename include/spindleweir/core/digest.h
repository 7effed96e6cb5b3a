/// Digests: SHA-256 where a stranger may choose the input, xxHash elsewhere.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace spindleweir {

/// SHA-256 of the bytes, as 64 hexadecimal digits.
std::string Sha256Hex(std::string_view aBytes);

/// xxHash64 of the bytes: for checksums, never for secrets.
std::uint64_t FastHash(std::string_view aBytes, std::uint64_t aSeed = 0);

/// aBytes random bytes from the system, as hexadecimal digits.
std::string RandomHex(int aBytes);

}  // namespace spindleweir
