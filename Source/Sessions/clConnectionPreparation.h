#pragma once

#include "clSessionState.h"
#include "clStatementCodec.h"

#include <cstddef>
#include <string>

namespace catkinloom {

/// Appends the steps of aPlan in the order in which they take effect, so that
/// they can be sent at once.  Returns their number.
std::size_t
AppendPreparation(std::string& aOut,
                  const statement_codec& aCodec,
                  const connection_preparation& aPlan);

} // namespace catkinloom
