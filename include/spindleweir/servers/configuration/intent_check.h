/// Checks an intent before a plan is made of it.
#pragma once

#include "spindleweir/servers/configuration/configuration.h"

namespace spindleweir {

/// Throws kBadField naming the first thing that cannot be; replaces each
/// workspace's key by its SHA-256, so that keys are never kept.
void CheckIntentAndHashKeys(Intent& aIntent);

}  // namespace spindleweir
