#pragma once

#include <compare>
#include <cstdint>

namespace catkinloom {

/// Number of a primary's reign.  Every promotion raises it.
using term_number = std::uint64_t;

/// A place in a group's log: the term that wrote the entry, then its index.
///
/// The order compares terms first.  An index alone says nothing across a
/// promotion, because a replaced primary may have written further.
struct log_position
{
  term_number mTerm = 0;
  std::uint64_t mIndex = 0;

  auto operator<=>(const log_position&) const = default;
};

} // namespace catkinloom
