/// A check of JSON text from outside that is stored and returned as it came.
#pragma once

#include <string_view>

namespace spindleweir {

/// JsonCpp reads text that the standard (RFC 8259) does not allow and that
/// other readers refuse: bytes that are not UTF-8, a byte order mark, control
/// characters and half a surrogate pair in strings, numbers such as 01, 1. and
/// +1. Throws kMalformedJson for these. What JsonCpp refuses is not looked for.
void CheckJsonText(std::string_view aText);

}  // namespace spindleweir
