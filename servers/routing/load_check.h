/// Parses load tables of other processes and leaves out invalid rows.
#pragma once

#include <json/value.h>

#include "spindleweir/servers/routing/load_share.h"

namespace spindleweir {

/// Returns the valid rows of a table and passes the others to aOnBad. Throws
/// kBadField if aTable is not a table.
LoadTable ReadLoadTable(const Json::Value& aTable,
                        const InvalidRowHook& aOnBad);

}  // namespace spindleweir
