#pragma once

#include "clGroupTable.h"

namespace catkinloom {

/// Time until an instance should be asked for its state again.
///
/// An answer to a request tells as much as a probe, so a busy instance is
/// hardly probed.  While reads with a declared age run, the primary is asked
/// more often: the age of a replica's data is known only as finely as the
/// primary's log end was observed.
nanoseconds
NextProbeDelay(const group_row& aGroup,
               instance_number aInstance,
               milliseconds aInterval,
               time_point aNow);

} // namespace catkinloom
