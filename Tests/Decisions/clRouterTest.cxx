#include "clRouter.h"
#include "clGroupTestData.h"
#include "clProbeSchedule.h"
#include "clResponseEvaluation.h"

#include <doctest/doctest.h>

using namespace catkinloom;

namespace {

/// A group whose primary is instance 0 in term 1; all instances reported at
/// 1,000 ms.
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

constexpr milliseconds kStalenessBound{ 2000 };

} // namespace

TEST_CASE_FIXTURE(router_fixture,
                  "bounded_staleness_read_goes_to_fresh_replica")
{
  const route_decision decision = Read(kStalenessBound, {}, 1100);
  CHECK(decision.mAction == route_action::UseReplica);
  CHECK(decision.mInstance == 1);
}

TEST_CASE_FIXTURE(router_fixture,
                  "bounded_staleness_read_past_bound_goes_to_primary")
{
  const route_decision decision = Read(kStalenessBound, {}, 3100);
  CHECK(decision.mAction == route_action::UsePrimary);
  CHECK(decision.mMustConfirm);
}

TEST_CASE_FIXTURE(router_fixture,
                  "read_with_floor_above_replica_logs_goes_to_primary")
{
  const route_decision decision = Read(kStalenessBound, { 1, 101 }, 1100);
  CHECK(decision.mAction == route_action::UsePrimary);
}

TEST_CASE_FIXTURE(router_fixture,
                  "read_without_staleness_bound_goes_to_primary")
{
  const route_decision decision = Read(std::nullopt, {}, 1100);
  CHECK(decision.mAction == route_action::UsePrimary);
  CHECK(decision.mMustConfirm);
}

TEST_CASE_FIXTURE(router_fixture, "leaving_instance_receives_no_new_requests")
{
  mTable.Group(0).mInstances[1].mLeaving = true;
  mTable.Group(0).mInstances[0].mLeaving = true;
  CHECK(Read(kStalenessBound, { 1, 100 }, 1100).mAction == route_action::Wait);
  CHECK(mRouter.DecideWrite(mTable.Group(0), At(1100)).mAction ==
        route_action::Wait);
}

TEST_CASE_FIXTURE(router_fixture,
                  "write_waits_when_replicas_lost_contact_to_primary")
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

TEST_CASE_FIXTURE(router_fixture, "term_without_majority_proves_no_freshness")
{
  // Instance 1 adopted term 2, in which no majority is confirmed, so the log
  // end that the primary of term 1 reported proves no freshness.
  mTable.Record(0, 1, ReportOf(2, { 1, 100 }, false), At(1500));
  CHECK(Read(kStalenessBound, {}, 1600).mAction == route_action::Wait);
}

TEST_CASE_FIXTURE(router_fixture,
                  "head_of_replaced_primary_proves_no_freshness_past_its_term")
{
  // The old primary is isolated and appends entries that no majority confirms.
  mTable.Record(0, 0, ReportOf(1, { 1, 160 }, true), At(4000));
  // The others elected instance 1, and instance 2 still holds some of the old
  // primary's unconfirmed entries.
  mTable.Record(0, 1, ReportOf(2, { 2, 102 }, true), At(4100));
  mTable.Record(0, 2, ReportOf(2, { 1, 160 }, false), At(4100));
  const route_decision decision = Read(kStalenessBound, {}, 4200);
  CHECK(decision.mAction == route_action::UsePrimary);
}

TEST_CASE_FIXTURE(router_fixture,
                  "probe_delay_is_shorter_when_an_instance_fails")
{
  const auto delay = [this] {
    return NextProbeDelay(mTable.Group(0), 1, milliseconds(10000), At(1000));
  };
  CHECK(delay() == milliseconds(10000));
  mTable.RecordFailure(0, 0, At(1000));
  CHECK(delay() == milliseconds(100));
}

TEST_CASE_FIXTURE(router_fixture,
                  "probe_delay_of_primary_follows_staleness_bound")
{
  mTable.RecordBoundedStalenessRead(0, milliseconds(5000), At(1000));
  const auto delay = [this](instance_number aInstance) {
    return NextProbeDelay(
      mTable.Group(0), aInstance, milliseconds(200), At(1000));
  };
  CHECK(delay(0) == milliseconds(50));
  CHECK(delay(1) == milliseconds(200));
}

TEST_CASE_FIXTURE(router_fixture,
                  "slow_replica_is_avoided_until_fast_one_is_loaded")
{
  mTable.Record(0, 2, ReportOf(1, { 1, 100 }, false), At(1001));
  auto& instances = mTable.Group(0).mInstances;
  instances[1].mResponseTime = milliseconds(50);
  instances[2].mResponseTime = milliseconds(2);
  CHECK(Read(kStalenessBound, {}, 1100).mInstance == 2);
  instances[2].mInFlight = 100;
  CHECK(Read(kStalenessBound, {}, 1100).mInstance == 1);
}

TEST_CASE_FIXTURE(router_fixture,
                  "current_read_queries_term_until_majority_confirms")
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

TEST_CASE_FIXTURE(router_fixture, "floor_beyond_log_is_refused_without_waiting")
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

TEST_CASE_FIXTURE(router_fixture,
                  "write_under_primary_policy_requires_term_lease")
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

TEST_CASE_FIXTURE(router_fixture,
                  "write_under_confirmed_policy_requires_majority")
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
