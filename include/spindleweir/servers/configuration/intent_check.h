/// Checks an intent before a plan is made from it.
#pragma once

#include "spindleweir/servers/configuration/configuration.h"

namespace spindleweir {

/// Throws kBadField naming the first invalid field. Replaces each workspace's
/// key by its SHA-256, so that keys are never stored.
void CheckIntentAndHashKeys(Intent& aIntent);

}  // namespace spindleweir
