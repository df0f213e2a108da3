#include "clConnectionShare.h"

#include <doctest/doctest.h>

using namespace catkinloom;

namespace {

/// Five proxies before an instance that accepts 16 connections; all lose power
/// at once, and their connections count for some seconds more.
struct connection_share_fixture
{
  std::size_t CountExpired(const std::vector<nanoseconds>& aIdleFor,
                           std::uint32_t aOpen) const
  {
    return CountExpiredIdle(aIdleFor, aOpen, mShare, mTimeouts);
  }

  connection_share mShare = ShareOf(kLimit, kProxies);
  idle_timeouts mTimeouts{ milliseconds(2000), milliseconds(200) };

  static constexpr std::uint32_t kLimit = 16;
  static constexpr std::uint32_t kProxies = 5;
};

} // namespace

TEST_CASE_FIXTURE(connection_share_fixture,
                  "share_of_all_proxies_stays_within_the_limit")
{
  for (std::uint32_t proxies = 1; proxies <= kLimit; ++proxies) {
    CHECK(ShareOf(kLimit, proxies).mHardLimit * proxies <= kLimit);
    CHECK(ShareOf(kLimit, proxies).mSoftLimit >= 1);
  }
  CHECK(ShareOf(kLimit, 0).mHardLimit == kLimit);
  CHECK(ShareOf(0, kProxies).mHardLimit == 1);
}

TEST_CASE_FIXTURE(connection_share_fixture,
                  "usual_shares_leave_room_for_a_restart_of_all")
{
  // Every connection within the usual shares counts twice until the dead ones
  // are dropped.
  CHECK(2 * kProxies * mShare.mSoftLimit <= kLimit);
}

TEST_CASE_FIXTURE(connection_share_fixture,
                  "connection_beyond_the_usual_share_is_closed_soon")
{
  CHECK(CountExpired({ milliseconds(300), milliseconds(210), milliseconds(0) },
                     3) == 2);
  CHECK(CountExpired({ milliseconds(190), milliseconds(0) }, 3) == 0);
}

TEST_CASE_FIXTURE(connection_share_fixture,
                  "connection_beyond_the_usual_share_in_use_counts_as_open")
{
  // Two of three are in use: the idle one is beyond the share.
  CHECK(CountExpired({ milliseconds(300) }, 3) == 1);
  CHECK(CountExpired({ milliseconds(300) }, 1) == 0);
}

TEST_CASE_FIXTURE(connection_share_fixture,
                  "connection_within_the_usual_share_stays_longer")
{
  mShare = { 6, 3 };
  CHECK(CountExpired({ milliseconds(1900), milliseconds(1900) }, 2) == 0);
  CHECK(CountExpired({ milliseconds(2100), milliseconds(2100) }, 2) == 1);
}
