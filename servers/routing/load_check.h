/// Loads of other processes row by row: one that cannot be used is left out.
#pragma once

#include <json/value.h>

#include "spindleweir/servers/routing/load_aggregator.h"

namespace spindleweir {

/// The rows of a table that can be used. Throws kBadField where it is no table.
LoadTable ReadLoadTable(const Json::Value& aTable, const BadRowHook& aOnBad);

}  // namespace spindleweir
