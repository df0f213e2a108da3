#pragma once

#include <compare>
#include <cstdint>

namespace catkinloom {

/// Number of a leadership term. Every promotion increases it.
using term_number = std::uint64_t;

/// Position in a group's log: the term that wrote the entry, then its index.
///
/// Positions are ordered by term first. Indexes of different terms are not
/// comparable, because a replaced primary may have written further.
struct log_position
{
  term_number mTerm = 0;
  std::uint64_t mIndex = 0;

  auto operator<=>(const log_position&) const = default;
};

} // namespace catkinloom
