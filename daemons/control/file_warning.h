/// A log line for a small file of the data folder that can't be used.
#pragma once

#include "spindleweir/core/error.h"

namespace spindleweir {

/// The file was not read or not written; its loss costs time only.
void LogFileWarning(const char* aEvent, const Error& aError);

}  // namespace spindleweir
