#include "clPeerTable.h"
#include "clGroupTestData.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace catkinloom;

namespace {

/// Largest expected fleet, and the number of rounds within the time in which a
/// change must be in force: 12 s at one round every 2 s.
constexpr std::size_t kMaxFleetSize = 2700;
constexpr int kRounds = 6;

std::vector<manifest_proxy>
MakeFleet(std::size_t aSize)
{
  std::vector<manifest_proxy> proxies;
  for (std::size_t i = 0; i < aSize; ++i) {
    const std::string name = "proxy-" + std::to_string(i);
    proxies.push_back({ name, "zone", name + "-address" });
  }
  return proxies;
}

} // namespace

TEST_CASE("unresponsive_peer_is_not_live_after_timeout")
{
  peer_table peers("proxy-0", milliseconds(1500));
  peers.Apply(MakeFleet(3));
  CHECK(peers.LiveNames(At(0)).size() == 3);
  peers.RecordMissedResponse("proxy-1-address", At(100));
  CHECK(peers.LiveNames(At(1500)).size() == 3);
  CHECK(peers.LiveNames(At(1700)).size() == 2);
  peers.RecordHeartbeat("proxy-1", 1, false);
  CHECK(peers.LiveNames(At(1800)).size() == 3);
  peers.RecordHeartbeat("proxy-1", 1, true);
  CHECK(peers.LiveNames(At(1800)).size() == 2);
}

TEST_CASE("small_fleet_sends_messages_to_all_peers")
{
  std::minstd_rand random(1);
  peer_table peers("proxy-0", milliseconds(1500));
  peers.Apply(MakeFleet(5));
  CHECK(peers.PickTargets(random).size() == 4);
}

TEST_CASE("change_reaches_the_largest_fleet_within_limit")
{
  // Each proxy that has the change sends it to a few others in each round.
  std::minstd_rand random(1);
  peer_table peers("elsewhere", milliseconds(1500));
  peers.Apply(MakeFleet(kMaxFleetSize));
  std::vector<bool> hasChange(kMaxFleetSize, false);
  hasChange[0] = true;
  std::size_t maxTargets = 0;
  for (int round = 0; round < kRounds; ++round) {
    const std::vector<bool> before = hasChange;
    for (std::size_t i = 0; i < kMaxFleetSize; ++i) {
      if (!before[i]) {
        continue;
      }
      const auto targets = peers.PickTargets(random);
      maxTargets = std::max(maxTargets, targets.size());
      for (const std::size_t target : targets) {
        hasChange[target] = true;
      }
    }
  }
  CHECK(std::count(hasChange.begin(), hasChange.end(), true) == kMaxFleetSize);
  CHECK(maxTargets == 8);
}
