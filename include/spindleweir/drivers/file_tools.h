/// Durable files: writes are synced before a function returns.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// The content of the file, or nothing if it cannot be opened.
std::optional<std::string> ReadFile(const std::string& aPath);

/// The content of a file that must not be taken for empty by mistake; empty if
/// there is no such file. Throws kDataUnwritable if this process may not read
/// it, kStorageFailed if the disk fails.
std::string ReadDataFile(const std::string& aPath);

/// Writes all bytes to an open file; false, with the error in errno, if that
/// failed.
bool WriteAll(int aFd, std::string_view aBytes);

/// Syncs an open file, or with aDataOnly its content; false, with the error in
/// errno, if that failed.
bool SyncFile(int aFd, bool aDataOnly = false);

/// Milliseconds that the calling thread has spent in SyncFile(), in all.
Millis TimeInSyncs();

/// Atomically replaces the file: writes and syncs a temporary file, renames it
/// and syncs the folder. Throws kDataUnwritable if this process lacks the
/// right, else kStorageFailed; the file then has its old or its new content,
/// and may get back the old one if power is lost.
void ReplaceFile(const std::string& aPath, std::string_view aBytes);

/// The folder that holds a file.
std::string FolderOf(const std::string& aPath);

/// Throws kDataUnwritable if the folder is missing or cannot be written.
void RequireFolder(const std::string& aPath);

/// Creates the folder if it is missing and checks that it may be written.
/// Throws kDataUnwritable if not, kStorageFailed if the disk does not accept
/// it.
void PrepareFolder(const std::string& aPath);

}  // namespace spindleweir
