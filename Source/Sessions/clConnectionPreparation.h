#pragma once

#include "clSessionState.h"
#include "clStatementBatch.h"
#include "clStatementCodec.h"

#include <cstddef>

namespace catkinloom {

/// Appends the steps of aPlan in the order in which they take effect, so that
/// they can be sent at once.  aPhase is the phase of the session on the
/// connection.  Returns their number.
std::size_t
AppendPreparation(statement_batch& aBatch,
                  const statement_codec& aCodec,
                  const connection_preparation& aPlan,
                  session_phase aPhase);

} // namespace catkinloom
