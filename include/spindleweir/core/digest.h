/// Digests: SHA-256 for input that an attacker may choose, xxHash otherwise.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace spindleweir {

/// SHA-256 of the bytes, as 64 hexadecimal digits.
std::string Sha256Hex(std::string_view aBytes);

/// xxHash64 of the bytes, for checksums; not cryptographically secure.
std::uint64_t FastHash(std::string_view aBytes, std::uint64_t aSeed = 0);

/// aBytes cryptographically secure random bytes, as hexadecimal digits.
std::string RandomHex(int aBytes);

}  // namespace spindleweir
