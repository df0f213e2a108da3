#include "clConnectionShare.h"

#include <doctest/doctest.h>

using namespace catkinloom;

namespace {

/// Five proxies share an instance that accepts 16 connections.  When all of
/// them lose power at once, their connections count for some seconds more.
struct connection_share_fixture
{
  std::size_t CountExpired(const std::vector<nanoseconds>& aIdleFor,
                           std::uint32_t aOpen) const
  {
    return CountExpiredIdle(aIdleFor, aOpen, mShare, mTimeouts);
  }

  connection_share mShare = ShareOf(kLimit, kProxies, false);
  idle_timeouts mTimeouts{ milliseconds(2000), milliseconds(200) };

  static constexpr std::uint32_t kLimit = 16;
  static constexpr std::uint32_t kProxies = 5;
};

} // namespace

TEST_CASE_FIXTURE(connection_share_fixture,
                  "shares_of_all_proxies_stay_within_instance_limit")
{
  for (std::uint32_t proxies = 1; proxies <= kLimit; ++proxies) {
    CHECK(ShareOf(kLimit, proxies, false).mHardLimit * proxies <= kLimit);
    CHECK(ShareOf(kLimit, proxies, false).mSoftLimit >= 1);
  }
  CHECK(ShareOf(kLimit, 0, false).mHardLimit == kLimit);
  CHECK(ShareOf(0, kProxies, false).mHardLimit == 1);
}

TEST_CASE_FIXTURE(connection_share_fixture,
                  "soft_limits_allow_restart_of_all_proxies")
{
  // Every connection within the soft limits counts twice until the instance
  // drops the previous ones.
  CHECK(2 * kProxies * mShare.mSoftLimit <= kLimit);
}

TEST_CASE_FIXTURE(connection_share_fixture,
                  "connection_above_soft_limit_is_closed_early")
{
  CHECK(CountExpired({ milliseconds(300), milliseconds(210), milliseconds(0) },
                     3) == 2);
  CHECK(CountExpired({ milliseconds(190), milliseconds(0) }, 3) == 0);
}

TEST_CASE_FIXTURE(connection_share_fixture,
                  "connection_in_use_counts_towards_soft_limit")
{
  // Two of three are in use: the idle one is above the soft limit.
  CHECK(CountExpired({ milliseconds(300) }, 3) == 1);
  CHECK(CountExpired({ milliseconds(300) }, 1) == 0);
}

TEST_CASE_FIXTURE(connection_share_fixture,
                  "connection_within_soft_limit_stays_open_longer")
{
  mShare = { 6, 3 };
  CHECK(CountExpired({ milliseconds(1900), milliseconds(1900) }, 2) == 0);
  CHECK(CountExpired({ milliseconds(2100), milliseconds(2100) }, 2) == 1);
}

TEST_CASE_FIXTURE(connection_share_fixture,
                  "restart_of_all_proxies_leaves_a_connection_for_each")
{
  // The previous processes used their soft limits and lost power.
  const std::uint32_t counted = kProxies * mShare.mSoftLimit;
  const connection_share started = ShareOf(kLimit, kProxies, true);
  CHECK(started.mHardLimit == mShare.mSoftLimit);
  CHECK(counted + kProxies * started.mHardLimit <= kLimit);
}
