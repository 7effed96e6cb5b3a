/// The identity of a control that finds the others by seeds: its address and
/// the name of its disk.
#pragma once

#include "spindleweir/daemons/control_daemon.h"

namespace spindleweir {

/// Returns the options with the id of this control and, at the first start, the
/// ids of the first voters. Writes nothing. Throws kDataCorrupt if the data
/// folder belongs to another address, kDataUnwritable or kStorageFailed.
ControlOptions ReadIdentity(ControlOptions aOptions);

/// Makes the id of the options durable. Throws as ReplaceFile().
void WriteIdentity(const ControlOptions& aOptions);

}  // namespace spindleweir
