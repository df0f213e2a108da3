#include "clConnectionSlotCounter.h"
#include "clGroupTestData.h"

#include <doctest/doctest.h>

using namespace catkinloom;

TEST_CASE("seats_at_share_give_no_more")
{
  connection_slot_counter slots;
  slots.SetShare(2);
  CHECK(slots.TryAcquire());
  CHECK(slots.TryAcquire());
  CHECK_FALSE(slots.TryAcquire());
  slots.Release();
  CHECK(slots.TryAcquire());
}

TEST_CASE("seat_of_uncertain_connection_stays_taken_until_reported_gone")
{
  connection_slot_counter slots;
  slots.SetShare(1);
  REQUIRE(slots.TryAcquire());
  slots.MarkPendingRelease(At(100));
  CHECK_FALSE(slots.TryAcquire());
  // Asked before the close: says nothing about it.
  slots.OnReport(0, At(90));
  CHECK_FALSE(slots.TryAcquire());
  // The instance still counts it.
  slots.OnReport(1, At(110));
  CHECK_FALSE(slots.TryAcquire());
  slots.OnReport(0, At(120));
  CHECK(slots.TryAcquire());
}

TEST_CASE("seats_report_of_open_connections_frees_nothing_too_much")
{
  connection_slot_counter slots;
  slots.SetShare(3);
  REQUIRE(slots.TryAcquire());
  REQUIRE(slots.TryAcquire());
  REQUIRE(slots.TryAcquire());
  slots.MarkPendingRelease(At(100));
  slots.OnReport(3, At(110));
  CHECK(slots.PendingRelease() == 1);
  slots.OnReport(2, At(120));
  CHECK(slots.PendingRelease() == 0);
}
