#pragma once

#include "clGroupTable.h"

namespace catkinloom {

/// Delay until an instance should be probed again.
///
/// A response to a data request carries as much information as a probe, so a
/// busy instance is rarely probed. While bounded-staleness reads run, the
/// primary is probed more often: the age of a replica's data is known only to
/// the resolution at which the end of the primary's log is observed.
nanoseconds
NextProbeDelay(const group_row& aGroup,
               instance_number aInstance,
               milliseconds aInterval,
               time_point aNow);

} // namespace catkinloom
