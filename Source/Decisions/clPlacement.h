#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace catkinloom {

/// Weight of a proxy for a group under rendezvous hashing.  A proxy that
/// joins or leaves moves only the groups that it wins or held.
std::uint64_t
PlacementWeight(std::string_view aGroup, std::string_view aProxy);

/// Number of proxies that come before aSelf for the group.
std::size_t
PlacementRank(std::string_view aGroup,
              std::string_view aSelf,
              const std::vector<std::string_view>& aProxies);

} // namespace catkinloom
