/// Logs what the records of crashes change, alike in routers and in control.
#pragma once

#include <string>

#include "spindleweir/servers/limits/crash_ledger.h"

namespace spindleweir {

/// Logs a record that has been merged if its subject is barred now and was not
/// before, or the other way. aBy: the process that sent the record.
void LogVerdict(const CrashLedger& aLedger, const CrashRecord& aRecord,
                bool aWasBarred, const std::string& aBy);

}  // namespace spindleweir
