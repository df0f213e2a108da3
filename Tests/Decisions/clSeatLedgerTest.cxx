#include "clSeatLedger.h"
#include "clTestClock.h"

#include <doctest/doctest.h>

using namespace catkinloom;

TEST_CASE("seats_at_share_give_no_more")
{
  seat_ledger seats;
  seats.SetShare(2);
  CHECK(seats.TryTake());
  CHECK(seats.TryTake());
  CHECK_FALSE(seats.TryTake());
  seats.Free();
  CHECK(seats.TryTake());
}

TEST_CASE("seat_of_uncertain_connection_stays_taken_until_reported_gone")
{
  seat_ledger seats;
  seats.SetShare(1);
  REQUIRE(seats.TryTake());
  seats.Linger(At(100));
  CHECK_FALSE(seats.TryTake());
  // Asked before the close: says nothing about it.
  seats.OnReport(0, At(90));
  CHECK_FALSE(seats.TryTake());
  // The instance still counts it.
  seats.OnReport(1, At(110));
  CHECK_FALSE(seats.TryTake());
  seats.OnReport(0, At(120));
  CHECK(seats.TryTake());
}

TEST_CASE("seats_report_of_open_connections_frees_nothing_too_much")
{
  seat_ledger seats;
  seats.SetShare(3);
  REQUIRE(seats.TryTake());
  REQUIRE(seats.TryTake());
  REQUIRE(seats.TryTake());
  seats.Linger(At(100));
  seats.OnReport(3, At(110));
  CHECK(seats.Lingering() == 1);
  seats.OnReport(2, At(120));
  CHECK(seats.Lingering() == 0);
}
