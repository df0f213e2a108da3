#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace catkinloom {

/// Weight of a proxy for a group in rendezvous hashing. When a proxy joins or
/// leaves, only the groups that are placed on it move.
std::uint64_t
PlacementWeight(std::string_view aGroup, std::string_view aProxy);

/// Number of proxies that rank before aSelf for the group.
std::size_t
PlacementRank(std::string_view aGroup,
              std::string_view aSelf,
              const std::vector<std::string_view>& aProxies);

} // namespace catkinloom
