/// Files that last: what is written here is synced before it counts.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace spindleweir {

/// The whole file, or nothing where there is none.
std::optional<std::string> ReadFile(const std::string& aPath);

/// Replaces the file in one step: written beside it, synced, renamed, and the
/// folder synced. Throws kStorageFailed.
void ReplaceFile(const std::string& aPath, std::string_view aBytes);

/// Makes the folder if it is missing and proves that it can be written.
/// Throws kDataUnwritable.
void PrepareFolder(const std::string& aPath);

}  // namespace spindleweir
