#include "clPlacement.h"

#include <doctest/doctest.h>
#include <string>

using namespace catkinloom;

namespace {

constexpr std::size_t kProxies = 40;
constexpr std::size_t kGroups = 2000;
constexpr std::size_t kProxiesPerGroup = 5;

std::vector<std::string>
ProxyNames(std::size_t aCount)
{
  std::vector<std::string> names;
  for (std::size_t i = 0; i < aCount; ++i) {
    names.push_back("proxy-" + std::to_string(i));
  }
  return names;
}

std::vector<std::string_view>
Views(const std::vector<std::string>& aNames)
{
  return { aNames.begin(), aNames.end() };
}

} // namespace

TEST_CASE("placement_every_group_is_on_exactly_five_proxies")
{
  const auto names = ProxyNames(kProxies);
  for (std::size_t group = 0; group < 100; ++group) {
    std::size_t assigned = 0;
    for (const std::string& proxy : names) {
      const std::string name = "group-" + std::to_string(group);
      assigned +=
        PlacementRank(name, proxy, Views(names)) < kProxiesPerGroup ? 1 : 0;
    }
    CHECK(assigned == kProxiesPerGroup);
  }
}

TEST_CASE("placement_removed_proxy_moves_only_its_groups")
{
  const auto before = ProxyNames(kProxies);
  const auto after = ProxyNames(kProxies - 1);
  std::size_t moved = 0;
  for (std::size_t group = 0; group < kGroups; ++group) {
    const std::string name = "group-" + std::to_string(group);
    for (const std::string& proxy : after) {
      const bool had =
        PlacementRank(name, proxy, Views(before)) < kProxiesPerGroup;
      const bool has =
        PlacementRank(name, proxy, Views(after)) < kProxiesPerGroup;
      CHECK_FALSE((had && !has));
      moved += had != has ? 1 : 0;
    }
  }
  // The removed proxy had kProxiesPerGroup/kProxies of the groups; only those
  // moved.
  CHECK(moved < 2 * kGroups * kProxiesPerGroup / kProxies);
  CHECK(moved > 0);
}
