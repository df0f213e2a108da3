#include "clInstanceSelector.h"
#include "clGroupTestData.h"

#include <doctest/doctest.h>

using namespace catkinloom;

namespace {

/// Leader 0 and replicas 1 and 2; replica 1 is in the proxy's zone.  Each has
/// an idle connection and a response time of 20 ms.
struct selector_fixture
{
  selector_fixture()
  {
    mCandidates.resize(3);
    for (instance_candidate& candidate : mCandidates) {
      candidate.mHasIdle = true;
      candidate.mSlots = 3;
      candidate.mPosition = { 1, 100 };
      candidate.mResponseTime = milliseconds(20);
    }
    mCandidates[0].mLeads = true;
    mCandidates[0].mLeaderReady = true;
    mCandidates[1].mSameZone = true;
  }

  instance_selection Select() const
  {
    return SelectInstance(mCandidates, mRequirements, At(1000));
  }

  std::vector<instance_candidate> mCandidates;
  instance_requirements mRequirements{ false, { 1, 100 }, 0 };
};

} // namespace

TEST_CASE_FIXTURE(selector_fixture, "read_selects_replica_in_same_zone")
{
  CHECK(Select().mInstance == 1);
}

TEST_CASE_FIXTURE(selector_fixture,
                  "read_with_loaded_replica_selects_other_zone")
{
  mCandidates[1].mInFlight = 8;
  CHECK(Select().mInstance == 2);
}

TEST_CASE_FIXTURE(selector_fixture, "read_avoids_lagging_replica")
{
  mCandidates[1].mLaggingUntil = At(1100);
  mCandidates[1].mPosition = { 1, 99 };
  CHECK(Select().mInstance == 2);
}

TEST_CASE_FIXTURE(selector_fixture, "read_selects_replica_that_caught_up")
{
  mCandidates[1].mLaggingUntil = At(1100);
  CHECK(Select().mInstance == 1);
}

TEST_CASE_FIXTURE(selector_fixture, "read_avoids_draining_replica")
{
  mCandidates[1].mDraining = true;
  CHECK(Select().mInstance == 2);
}

TEST_CASE_FIXTURE(selector_fixture, "read_prefers_idle_connection_to_new_one")
{
  mCandidates[1].mHasIdle = false;
  mCandidates[1].mCanOpen = true;
  CHECK(Select().mInstance == 2);
}

TEST_CASE_FIXTURE(selector_fixture, "read_without_any_connection_is_busy")
{
  for (instance_candidate& candidate : mCandidates) {
    candidate.mHasIdle = false;
  }
  CHECK(Select().mResult == selection_result::AllBusy);
}

TEST_CASE_FIXTURE(selector_fixture,
                  "read_refused_by_all_has_no_usable_instance")
{
  mRequirements.mExcluded = 7;
  CHECK(Select().mResult == selection_result::NoneUsable);
}

TEST_CASE_FIXTURE(selector_fixture, "write_selects_leader_only")
{
  mRequirements.mLeaderOnly = true;
  mCandidates[0].mInFlight = 20;
  CHECK(Select().mInstance == 0);
}

TEST_CASE_FIXTURE(selector_fixture,
                  "write_with_leader_not_ready_has_no_usable_instance")
{
  mRequirements.mLeaderOnly = true;
  mCandidates[0].mLeaderReady = false;
  CHECK(Select().mResult == selection_result::NoneUsable);
}

TEST_CASE_FIXTURE(selector_fixture, "write_selects_draining_leader")
{
  mRequirements.mLeaderOnly = true;
  mCandidates[0].mDraining = true;
  CHECK(Select().mResult == selection_result::Chosen);
}

TEST_CASE_FIXTURE(selector_fixture, "read_avoids_instance_without_capacity")
{
  mCandidates[1].mHasCapacity = false;
  CHECK(Select().mInstance == 2);
}

TEST_CASE_FIXTURE(selector_fixture, "read_without_any_capacity_is_busy")
{
  for (instance_candidate& candidate : mCandidates) {
    candidate.mHasCapacity = false;
  }
  CHECK(Select().mResult == selection_result::AllBusy);
}

TEST_CASE_FIXTURE(selector_fixture,
                  "read_beside_loaded_leader_crosses_to_free_replica")
{
  // The only instance in the proxy's zone is the leader, which works on
  // transactions.
  mCandidates[0].mSameZone = true;
  mCandidates[1].mSameZone = false;
  CHECK(Select().mInstance == 0);
  mCandidates[0].mInFlight = 1;
  CHECK(Select().mInstance == 1);
}
