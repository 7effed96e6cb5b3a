/// How a file is replaced: before the call returns, or on a thread of its own.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "spindleweir/core/error.h"
#include "spindleweir/drivers/disk_thread.h"

namespace spindleweir {

/// Called once with what went wrong; empty: the file is durable.
using ReplacedHook = std::function<void(const std::optional<Error>& aError)>;

/// Replaces a file as ReplaceFile() does, then calls aDone.
using ReplaceHook = std::function<void(const std::string& aPath,
                                       std::string aBytes, ReplacedHook aDone)>;

/// Waits for the disk.
void ReplaceAndWait(const std::string& aPath, const std::string& aBytes,
                    const ReplacedHook& aDone);

/// Called with the path of a file and the time that replacing it took.
using ReplaceTimeHook = std::function<void(const std::string&, Millis)>;

/// Returns a hook that leaves the wait to a thread, which must exist for as
/// long as the hook is used.
ReplaceHook ReplaceOn(DiskThread& aThread, ReplaceTimeHook aOnReplaced);

}  // namespace spindleweir
