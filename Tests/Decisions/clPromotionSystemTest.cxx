#include "clPromotionSystem.h"
#include "clGroupTestData.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace catkinloom;

namespace {

/// One proxy's view of a group whose primary is instance 0 in term 1.
struct promotion_fixture
{
  promotion_fixture()
  {
    mTable.Apply({ ThreeInstances("g") });
    mTable.Record(0, 0, ReportOf(1, { 1, 50 }, true), At(0));
    RecordReplica(1, { 1, 50 }, milliseconds(0), 0);
    RecordReplica(2, { 1, 40 }, milliseconds(0), 0);
  }

  void RecordReplica(instance_number aInstance,
                     log_position aLog,
                     milliseconds aTimeSinceContact,
                     std::int64_t aNow)
  {
    instance_report report = ReportOf(1, aLog, false);
    report.mTimeSincePrimaryContact = aTimeSinceContact;
    report.mFollows = "ga";
    mTable.Record(0, aInstance, report, At(aNow));
  }

  /// The primary does not respond, and both replicas report 400 ms without
  /// contact to it.
  void LosePrimary(std::int64_t aNow)
  {
    mTable.RecordFailure(0, 0, At(aNow));
    RecordReplica(1, { 1, 50 }, milliseconds(400), aNow);
    RecordReplica(2, { 1, 40 }, milliseconds(400), aNow);
  }

  std::vector<promotion_command> Tick(std::int64_t aNow, std::size_t aRank = 0)
  {
    std::vector<promotion_command> commands;
    mSystem.Tick(mTable, 0, aRank, At(aNow), commands);
    return commands;
  }

  std::vector<promotion_command> Respond(const promotion_command& aCommand,
                                         bool aGranted,
                                         const instance_report& aReport,
                                         std::int64_t aNow)
  {
    std::vector<promotion_command> commands;
    mSystem.OnAnswer(
      mTable, aCommand, { aGranted, aReport, At(aNow) }, At(aNow), commands);
    return commands;
  }

  group_table mTable;
  promotion_system mSystem{ {}, "proxy-1" };
};

} // namespace

TEST_CASE_FIXTURE(promotion_fixture,
                  "primary_in_contact_with_replicas_is_not_replaced")
{
  mTable.RecordFailure(0, 0, At(10));
  CHECK(Tick(100).empty());
}

TEST_CASE_FIXTURE(promotion_fixture,
                  "lost_primary_triggers_fence_on_all_instances")
{
  LosePrimary(500);
  const auto commands = Tick(510);
  REQUIRE(commands.size() == 3);
  for (const promotion_command& command : commands) {
    CHECK(command.mVerb == promotion_verb::Fence);
    CHECK(command.mTerm == 2);
    CHECK(command.mOwner == commands.front().mOwner);
  }
}

TEST_CASE_FIXTURE(promotion_fixture, "later_rank_waits_for_rank_delay")
{
  LosePrimary(500);
  CHECK(Tick(510, 2).empty());
  CHECK(Tick(800, 2).empty());
  CHECK(Tick(930, 2).size() == 3);
}

TEST_CASE_FIXTURE(promotion_fixture, "one_grant_promotes_no_instance")
{
  LosePrimary(500);
  const auto fences = Tick(510);
  CHECK(Respond(fences[2], true, ReportOf(2, { 1, 40 }, false), 520).empty());
  CHECK(Tick(600).empty());
}

TEST_CASE_FIXTURE(promotion_fixture, "majority_of_grants_promotes_longest_log")
{
  LosePrimary(500);
  const auto fences = Tick(510);
  Respond(fences[2], true, ReportOf(2, { 1, 40 }, false), 520);
  const auto next =
    Respond(fences[1], true, ReportOf(2, { 1, 50 }, false), 525);
  REQUIRE(next.size() == 1);
  CHECK(next[0].mVerb == promotion_verb::Promote);
  CHECK(next[0].mInstance == 1);
  CHECK(next[0].mTerm == 2);
  CHECK(next[0].mOwner == fences[0].mOwner);
}

TEST_CASE_FIXTURE(promotion_fixture, "longer_log_of_lower_term_is_not_longest")
{
  LosePrimary(500);
  const auto fences = Tick(510);
  Respond(fences[2], true, ReportOf(2, { 1, 900 }, false), 520);
  const auto next =
    Respond(fences[1], true, ReportOf(2, { 2, 60 }, false), 525);
  REQUIRE(next.size() == 1);
  CHECK(next[0].mInstance == 1);
}

TEST_CASE_FIXTURE(promotion_fixture, "refused_fence_promotes_no_instance")
{
  LosePrimary(500);
  const auto fences = Tick(510);
  Respond(fences[1], false, ReportOf(2, { 1, 50 }, false), 520);
  CHECK(Respond(fences[2], false, ReportOf(2, { 1, 40 }, false), 525).empty());
}

TEST_CASE_FIXTURE(promotion_fixture,
                  "primary_policy_waits_until_term_leases_expire")
{
  mTable.Group(0).mAcknowledge = acknowledge_policy::Primary;
  LosePrimary(500);
  const auto fences = Tick(510);
  Respond(fences[2], true, ReportOf(2, { 1, 40 }, false), 520);
  CHECK(Respond(fences[1], true, ReportOf(2, { 1, 50 }, false), 525).empty());
  CHECK(Tick(525 + 250).empty());
  const auto next = Tick(525 + 276);
  REQUIRE(next.size() == 1);
  CHECK(next[0].mVerb == promotion_verb::Promote);
}

TEST_CASE_FIXTURE(promotion_fixture, "stalled_attempt_is_retried_in_new_term")
{
  LosePrimary(500);
  const auto first = Tick(510);
  REQUIRE(first.size() == 3);
  Respond(first[2], true, ReportOf(2, { 1, 40 }, false), 520);
  Tick(1400);
  instance_report waiting = ReportOf(2, { 1, 40 }, false);
  waiting.mTimeSincePrimaryContact = milliseconds(900);
  mTable.Record(0, 2, waiting, At(1400));
  RecordReplica(1, { 1, 50 }, milliseconds(900), 1400);
  Tick(1410);
  const auto second = Tick(2300);
  // The reports are too old by then, so no decision may rest on them.
  CHECK(second.empty());
  mTable.Record(0, 2, waiting, At(2300));
  RecordReplica(1, { 1, 50 }, milliseconds(900), 2300);
  const auto third = Tick(2310);
  REQUIRE(third.size() == 3);
  CHECK(third[0].mTerm == 3);
  CHECK(third[0].mOwner != first[0].mOwner);
}

TEST_CASE_FIXTURE(promotion_fixture, "replaced_primary_receives_follow_command")
{
  mTable.Record(0, 1, ReportOf(2, { 2, 51 }, true), At(100));
  const auto commands = Tick(500);
  REQUIRE(commands.size() == 2);
  CHECK(commands[0].mVerb == promotion_verb::Follow);
  CHECK(commands[0].mInstance == 0);
  CHECK(commands[0].mLeader == 1);
  CHECK(commands[0].mTerm == 2);
}

TEST_CASE_FIXTURE(promotion_fixture,
                  "primary_without_contact_to_replicas_is_not_chosen")
{
  // This proxy reaches the old primary, but its replicas do not. It has the
  // longest log, so it would win every promotion and never be able to confirm a
  // write.
  RecordReplica(1, { 1, 50 }, milliseconds(400), 500);
  RecordReplica(2, { 1, 40 }, milliseconds(400), 500);
  mTable.Record(0, 0, ReportOf(1, { 1, 70 }, true), At(500));
  const auto fences = Tick(510);
  REQUIRE(fences.size() == 3);
  CHECK(Respond(fences[0], true, ReportOf(2, { 1, 70 }, false), 512).empty());
  CHECK(Respond(fences[2], true, ReportOf(2, { 1, 40 }, false), 514).empty());
  const auto next =
    Respond(fences[1], true, ReportOf(2, { 1, 50 }, false), 516);
  REQUIRE(next.size() == 1);
  CHECK(next[0].mInstance == 1);
}

TEST_CASE_FIXTURE(promotion_fixture,
                  "leaving_primary_is_replaced_by_remaining_instance")
{
  mTable.Group(0).mInstances[0].mLeaving = true;
  const auto fences = Tick(100);
  REQUIRE(fences.size() == 3);
  CHECK(Respond(fences[0], true, ReportOf(2, { 1, 60 }, false), 110).empty());
  CHECK(Respond(fences[1], true, ReportOf(2, { 1, 50 }, false), 112).empty());
  const auto next =
    Respond(fences[2], true, ReportOf(2, { 1, 40 }, false), 114);
  REQUIRE(next.size() == 1);
  CHECK(next[0].mVerb == promotion_verb::Promote);
  CHECK(next[0].mInstance == 1);
}
