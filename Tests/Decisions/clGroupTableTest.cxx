#include "clGroupTable.h"
#include "clGroupTestData.h"

#include <doctest/doctest.h>

using namespace catkinloom;

namespace {

struct group_fixture
{
  group_fixture() { mTable.Apply({ ThreeInstances("g") }); }

  const group_row& Group() const { return mTable.Group(0); }

  group_table mTable;
};

} // namespace

TEST_CASE_FIXTURE(group_fixture, "position_on_one_instance_is_not_confirmed")
{
  mTable.Record(0, 0, ReportOf(1, { 1, 5 }, true), At(10));
  mTable.Record(0, 1, ReportOf(1, { 1, 4 }, false), At(10));
  CHECK_FALSE(IsConfirmed(Group(), 1, { 1, 5 }));
}

TEST_CASE_FIXTURE(group_fixture, "position_on_majority_is_confirmed")
{
  mTable.Record(0, 0, ReportOf(1, { 1, 5 }, true), At(10));
  mTable.Record(0, 1, ReportOf(1, { 1, 5 }, false), At(10));
  CHECK(IsConfirmed(Group(), 1, { 1, 5 }));
}

TEST_CASE_FIXTURE(group_fixture,
                  "replica_of_later_term_does_not_confirm_older_term")
{
  // The replica's log is long enough, but it holds entries of another primary
  // there.
  mTable.Record(0, 0, ReportOf(1, { 1, 5 }, true), At(10));
  mTable.Record(0, 1, ReportOf(2, { 2, 9 }, false), At(10));
  CHECK_FALSE(IsConfirmed(Group(), 1, { 1, 5 }));
}

TEST_CASE_FIXTURE(group_fixture, "term_confirmation_time_is_request_send_time")
{
  mTable.Record(0, 0, ReportOf(1, { 1, 5 }, true), At(10));
  CHECK_FALSE(TermConfirmedAt(Group(), 1).has_value());
  mTable.Record(0, 1, ReportOf(1, { 1, 5 }, false), At(30));
  CHECK(TermConfirmedAt(Group(), 1) == At(10));
  mTable.Record(0, 2, ReportOf(1, { 1, 2 }, false), At(20));
  CHECK(TermConfirmedAt(Group(), 1) == At(20));
}

TEST_CASE_FIXTURE(group_fixture, "late_report_of_lower_term_is_ignored")
{
  mTable.Record(0, 0, ReportOf(2, { 2, 6 }, false), At(10));
  mTable.Record(0, 0, ReportOf(1, { 1, 5 }, true), At(20));
  CHECK(HighestTerm(Group()) == 2);
  CHECK_FALSE(PrimaryOf(Group()).has_value());
}

TEST_CASE_FIXTURE(group_fixture, "primary_of_lower_term_is_not_primary")
{
  mTable.Record(0, 0, ReportOf(1, { 1, 5 }, true), At(10));
  mTable.Record(0, 1, ReportOf(2, { 1, 5 }, false), At(20));
  CHECK_FALSE(PrimaryOf(Group()).has_value());
}

TEST_CASE_FIXTURE(group_fixture, "manifest_change_keeps_row_and_evidence")
{
  mTable.Record(0, 1, ReportOf(3, { 3, 8 }, true), At(10));
  manifest_group changed = ThreeInstances("g");
  changed.mInstances[0].mName = "other";
  mTable.Apply({ ThreeInstances("a-new-one"), changed });
  REQUIRE(mTable.Find("g") == 0);
  CHECK_FALSE(Group().mInstances[0].mReport.has_value());
  CHECK(Group().mInstances[1].mReport->mTerm == 3);
  mTable.Apply({});
  CHECK_FALSE(mTable.Find("g").has_value());
}

TEST_CASE("head_history_fresh_at_returns_latest_proven_time")
{
  head_history heads;
  heads.Add({ At(0), { 1, 10 } });
  heads.Add({ At(100), { 1, 20 } });
  heads.Add({ At(200), { 1, 30 } });
  CHECK(heads.FreshAt({ 1, 20 }, At(500)) == At(100));
  CHECK(heads.FreshAt({ 1, 29 }, At(500)) == At(100));
  CHECK(heads.FreshAt({ 1, 30 }, At(500)) == At(200));
  CHECK(heads.FreshAt({ 1, 30 }, At(150)) == At(150));
  CHECK_FALSE(heads.FreshAt({ 1, 9 }, At(500)).has_value());
}

TEST_CASE("head_history_unchanged_head_extends_freshness")
{
  head_history heads;
  heads.Add({ At(0), { 1, 10 } });
  heads.Add({ At(20), { 1, 10 } });
  heads.Add({ At(900), { 1, 10 } });
  CHECK(heads.FreshAt({ 1, 10 }, At(2000)) == At(900));
}
