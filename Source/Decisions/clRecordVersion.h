#pragma once

#include <compare>
#include <cstdint>

namespace catkinloom {

/// Order of the changes of a record in the coordination store.  The store
/// counts revisions anew in each generation, which begins when it returns from
/// an older copy of its data.
struct record_version
{
  std::uint64_t mGeneration = 0;
  /// 0 if the record does not exist in that generation.
  std::uint64_t mRevision = 0;

  auto operator<=>(const record_version&) const = default;
};

/// Highest generation of a store that has never been restored.
constexpr std::uint64_t kFirstGeneration = 1;

/// Lower bound of the fencing tokens of promotions that a newer record names;
/// it increases with the version.
constexpr std::uint64_t
FencingToken(record_version aVersion)
{
  constexpr unsigned kRevisionBits = 40;
  const std::uint64_t restores = aVersion.mGeneration > kFirstGeneration
                                   ? aVersion.mGeneration - kFirstGeneration
                                   : 0;
  return (restores << kRevisionBits) | aVersion.mRevision;
}

} // namespace catkinloom
