/// Durable files: writes are synced before a function returns.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace spindleweir {

/// The content of the file, or nothing if it cannot be opened.
std::optional<std::string> ReadFile(const std::string& aPath);

/// Atomically replaces the file: writes and syncs a temporary file, renames it
/// and syncs the folder. Throws kStorageFailed.
void ReplaceFile(const std::string& aPath, std::string_view aBytes);

/// Creates the folder if it is missing and checks that it is writable.
/// Throws kDataUnwritable.
void PrepareFolder(const std::string& aPath);

}  // namespace spindleweir
