#include "clRouter.h"
#include "clGroupTestData.h"
#include "clProbeSchedule.h"
#include "clResponseEvaluation.h"

#include <doctest/doctest.h>

using namespace catkinloom;

namespace {

/// A group whose instance 0 leads term 1; everything was reported at 1,000 ms.
struct router_fixture
{
  router_fixture()
  {
    mTable.Apply({ ThreeInstances("g") });
    mTable.Record(0, 0, ReportOf(1, { 1, 100 }, true), At(1000));
    mTable.Record(0, 1, ReportOf(1, { 1, 100 }, false), At(1000));
    mTable.Record(0, 2, ReportOf(1, { 1, 90 }, false), At(1000));
  }

  route_decision Read(std::optional<milliseconds> aAge,
                      log_position aFloor,
                      std::int64_t aNow) const
  {
    return mRouter.DecideRead(mTable.Group(0), { aFloor, aAge, 0 }, At(aNow));
  }

  group_table mTable;
  router mRouter{ {}, "b" };
};

constexpr milliseconds kAge{ 2000 };

} // namespace

TEST_CASE_FIXTURE(router_fixture, "aged_read_goes_to_replica_that_is_fresh")
{
  const route_decision decision = Read(kAge, {}, 1100);
  CHECK(decision.mAction == route_action::UseReplica);
  CHECK(decision.mInstance == 1);
}

TEST_CASE_FIXTURE(router_fixture, "aged_read_past_its_age_goes_to_primary")
{
  const route_decision decision = Read(kAge, {}, 3100);
  CHECK(decision.mAction == route_action::UsePrimary);
  CHECK(decision.mMustConfirm);
}

TEST_CASE_FIXTURE(router_fixture, "read_above_replicas_floor_goes_to_primary")
{
  const route_decision decision = Read(kAge, { 1, 101 }, 1100);
  CHECK(decision.mAction == route_action::UsePrimary);
}

TEST_CASE_FIXTURE(router_fixture, "read_without_age_goes_to_primary_confirmed")
{
  const route_decision decision = Read(std::nullopt, {}, 1100);
  CHECK(decision.mAction == route_action::UsePrimary);
  CHECK(decision.mMustConfirm);
}

TEST_CASE_FIXTURE(router_fixture, "leaving_instance_gets_no_new_work")
{
  mTable.Group(0).mInstances[1].mLeaving = true;
  mTable.Group(0).mInstances[0].mLeaving = true;
  CHECK(Read(kAge, { 1, 100 }, 1100).mAction == route_action::Wait);
  CHECK(mRouter.DecideWrite(mTable.Group(0), At(1100)).mAction ==
        route_action::Wait);
}

TEST_CASE_FIXTURE(router_fixture, "write_waits_when_replicas_lost_the_primary")
{
  CHECK(mRouter.DecideWrite(mTable.Group(0), At(1100)).mAction ==
        route_action::UsePrimary);
  for (const instance_number replica : { 1U, 2U }) {
    instance_report report = ReportOf(1, { 1, 90 }, false);
    report.mTimeSincePrimaryContact = milliseconds(400);
    mTable.Record(0, replica, report, At(1200));
  }
  const route_decision decision =
    mRouter.DecideWrite(mTable.Group(0), At(1300));
  CHECK(decision.mAction == route_action::Wait);
  CHECK(decision.mReason == route_reason::PrimaryCutOff);
}

TEST_CASE_FIXTURE(router_fixture, "cut_off_pair_proves_no_freshness")
{
  // Instance 2 went over to term 2, and so did instance 1: the old primary is
  // alone in term 1, and its word on the log's end proves nothing any more.
  mTable.Record(0, 1, ReportOf(2, { 1, 100 }, false), At(1500));
  CHECK(Read(kAge, {}, 1600).mAction == route_action::Wait);
}

TEST_CASE_FIXTURE(router_fixture,
                  "head_of_replaced_primary_proves_no_freshness_past_its_term")
{
  // The old primary, alone, reports on and grows a tail that nobody confirms.
  mTable.Record(0, 0, ReportOf(1, { 1, 160 }, true), At(4000));
  // Meanwhile the others elected instance 1, and instance 2 still carries a
  // piece of the old tail.
  mTable.Record(0, 1, ReportOf(2, { 2, 102 }, true), At(4100));
  mTable.Record(0, 2, ReportOf(2, { 1, 160 }, false), At(4100));
  const route_decision decision = Read(kAge, {}, 4200);
  CHECK(decision.mAction == route_action::UsePrimary);
}

TEST_CASE_FIXTURE(router_fixture, "probes_quicken_when_an_instance_fails")
{
  const auto delay = [this] {
    return NextProbeDelay(mTable.Group(0), 1, milliseconds(10000), At(1000));
  };
  CHECK(delay() == milliseconds(10000));
  mTable.RecordFailure(0, 0, At(1000));
  CHECK(delay() == milliseconds(100));
}

TEST_CASE_FIXTURE(router_fixture, "probes_follow_the_age_of_running_reads")
{
  mTable.RecordBoundedStalenessRead(0, milliseconds(5000), At(1000));
  const auto delay = [this](instance_number aInstance) {
    return NextProbeDelay(
      mTable.Group(0), aInstance, milliseconds(200), At(1000));
  };
  CHECK(delay(0) == milliseconds(50));
  CHECK(delay(1) == milliseconds(200));
}

TEST_CASE_FIXTURE(router_fixture, "slow_replica_is_avoided_until_busy_equal")
{
  mTable.Record(0, 2, ReportOf(1, { 1, 100 }, false), At(1001));
  auto& instances = mTable.Group(0).mInstances;
  instances[1].mAnswerTime = milliseconds(50);
  instances[2].mAnswerTime = milliseconds(2);
  CHECK(Read(kAge, {}, 1100).mInstance == 2);
  instances[2].mInFlight = 100;
  CHECK(Read(kAge, {}, 1100).mInstance == 1);
}

TEST_CASE_FIXTURE(router_fixture, "strong_read_asks_term_until_majority_is_new")
{
  const route_decision decision = Read(std::nullopt, {}, 1100);
  const answer_evidence evidence{ 1, { 1, 100 } };
  const auto evaluate = [&] {
    return EvaluateRead(
      mRouter, mTable.Group(0), {}, decision, evidence, At(1100), At(1200));
  };
  CHECK(evaluate() == read_evaluation::QueryTerm);
  mTable.RecordProgress(0, 0, 1, { 1, 100 }, At(1110));
  CHECK(evaluate() == read_evaluation::QueryTerm);
  mTable.Record(0, 2, ReportOf(1, { 1, 90 }, false), At(1120));
  CHECK(evaluate() == read_evaluation::Serve);
  mTable.Record(0, 2, ReportOf(2, { 1, 90 }, false), At(1130));
  CHECK(evaluate() == read_evaluation::Reroute);
}

TEST_CASE_FIXTURE(router_fixture, "absurd_floor_is_refused_not_awaited")
{
  const route_decision decision = Read(std::nullopt, { 1, 999999 }, 1100);
  mTable.Record(0, 0, ReportOf(1, { 1, 100 }, true), At(1110));
  mTable.Record(0, 1, ReportOf(1, { 1, 100 }, false), At(1110));
  CHECK(EvaluateRead(mRouter,
                     mTable.Group(0),
                     { { 1, 999999 }, std::nullopt, 0 },
                     decision,
                     { 1, { 1, 100 } },
                     At(1100),
                     At(1120)) == read_evaluation::SessionAhead);
}

TEST_CASE_FIXTURE(router_fixture, "write_of_primary_policy_needs_a_permit")
{
  mTable.Group(0).mAcknowledge = acknowledge_policy::Primary;
  const answer_evidence evidence{ 1, { 1, 101 } };
  const auto evaluate = [&](std::int64_t aNow) {
    return EvaluateWrite(mRouter, mTable.Group(0), evidence, At(aNow));
  };
  CHECK(evaluate(1200) == write_evaluation::Acknowledge);
  CHECK(evaluate(1300) == write_evaluation::KeepWaiting);
  mTable.Record(0, 2, ReportOf(2, { 1, 90 }, false), At(1250));
  CHECK(evaluate(1260) == write_evaluation::Uncertain);
}

TEST_CASE_FIXTURE(router_fixture, "write_of_confirmed_policy_needs_a_majority")
{
  const answer_evidence evidence{ 1, { 1, 101 } };
  const auto evaluate = [&] {
    return EvaluateWrite(mRouter, mTable.Group(0), evidence, At(9000));
  };
  CHECK(evaluate() == write_evaluation::KeepWaiting);
  mTable.RecordProgress(0, 0, 1, { 1, 101 }, At(1300));
  CHECK(evaluate() == write_evaluation::KeepWaiting);
  mTable.Record(0, 2, ReportOf(1, { 1, 101 }, false), At(1310));
  CHECK(evaluate() == write_evaluation::Acknowledge);
}
