/// The identity of a control that finds the others by seeds: its address and
/// the name of its disk.
#pragma once

#include "spindleweir/daemons/control_daemon.h"

namespace spindleweir {

/// Makes the identity in the data folder, which must exist, durable; returns the
/// options with the id of this control and, at the first start, the ids of the
/// first voters. Throws kDataCorrupt if the disk belongs to another address,
/// kDataUnwritable, or kStorageFailed if the disk fails.
ControlOptions PrepareIdentity(ControlOptions aOptions);

}  // namespace spindleweir
