#pragma once

#include "clClock.h"
#include "clGroupTable.h"

#include <string>

namespace catkinloom {

/// Time point aMilliseconds after the start of a test.
time_point
At(std::int64_t aMilliseconds);

/// A group of three instances, named aName followed by a, b and c, in the zones
/// a, b and c.
manifest_group
ThreeInstances(const std::string& aName);

/// A report of an instance in aTerm whose log ends at aLog.
instance_report
ReportOf(term_number aTerm, log_position aLog, bool aLeads);

} // namespace catkinloom
