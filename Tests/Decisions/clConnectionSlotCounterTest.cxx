#include "clConnectionSlotCounter.h"
#include "clGroupTestData.h"

#include <doctest/doctest.h>

using namespace catkinloom;

TEST_CASE("connection_slots_at_share_are_refused")
{
  connection_slot_counter slots;
  slots.SetShare(2);
  CHECK(slots.TryAcquire());
  CHECK(slots.TryAcquire());
  CHECK_FALSE(slots.TryAcquire());
  slots.Release();
  CHECK(slots.TryAcquire());
}

TEST_CASE("connection_slot_of_uncertain_close_is_held_until_reported_ended")
{
  connection_slot_counter slots;
  slots.SetShare(1);
  REQUIRE(slots.TryAcquire());
  slots.MarkPendingRelease(At(100));
  CHECK_FALSE(slots.TryAcquire());
  // Requested before the close, so the count does not reflect it.
  slots.OnReport(0, At(90));
  CHECK_FALSE(slots.TryAcquire());
  // The instance still counts the connection.
  slots.OnReport(1, At(110));
  CHECK_FALSE(slots.TryAcquire());
  slots.OnReport(0, At(120));
  CHECK(slots.TryAcquire());
}

TEST_CASE("connection_slots_report_releases_only_ended_connections")
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
