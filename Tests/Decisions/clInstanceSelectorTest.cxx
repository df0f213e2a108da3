#include "clInstanceSelector.h"
#include "clGroupTestData.h"

#include <doctest/doctest.h>

using namespace catkinloom;

namespace {

/// Leader 0 and replicas 1 and 2; replica 1 is in the proxy's zone.  All have
/// a free connection and answer in 20 ms.
struct selector_fixture
{
  selector_fixture()
  {
    mCandidates.resize(3);
    for (instance_candidate& candidate : mCandidates) {
      candidate.mHasIdle = true;
      candidate.mSlots = 3;
      candidate.mPosition = { 1, 100 };
      candidate.mAnswerTime = milliseconds(20);
    }
    mCandidates[0].mLeads = true;
    mCandidates[0].mLeaderReady = true;
    mCandidates[1].mSameZone = true;
  }

  placement Select() const
  {
    return SelectInstance(mCandidates, mRequirements, At(1000));
  }

  std::vector<instance_candidate> mCandidates;
  placement_requirements mRequirements{ false, { 1, 100 }, 0 };
};

} // namespace

TEST_CASE_FIXTURE(selector_fixture, "read_goes_to_the_replica_of_its_zone")
{
  CHECK(Select().mInstance == 1);
}

TEST_CASE_FIXTURE(selector_fixture,
                  "read_leaves_a_zone_whose_replica_is_loaded")
{
  mCandidates[1].mInFlight = 8;
  CHECK(Select().mInstance == 2);
}

TEST_CASE_FIXTURE(selector_fixture, "read_avoids_a_lagging_replica")
{
  mCandidates[1].mLaggingUntil = At(1100);
  mCandidates[1].mPosition = { 1, 99 };
  CHECK(Select().mInstance == 2);
}

TEST_CASE_FIXTURE(selector_fixture, "read_returns_to_a_replica_that_caught_up")
{
  mCandidates[1].mLaggingUntil = At(1100);
  CHECK(Select().mInstance == 1);
}

TEST_CASE_FIXTURE(selector_fixture, "read_avoids_a_draining_replica")
{
  mCandidates[1].mDraining = true;
  CHECK(Select().mInstance == 2);
}

TEST_CASE_FIXTURE(selector_fixture,
                  "read_prefers_a_free_connection_to_a_new_one")
{
  mCandidates[1].mHasIdle = false;
  mCandidates[1].mCanOpen = true;
  CHECK(Select().mInstance == 2);
}

TEST_CASE_FIXTURE(selector_fixture, "read_with_every_instance_full_is_busy")
{
  for (instance_candidate& candidate : mCandidates) {
    candidate.mHasIdle = false;
  }
  CHECK(Select().mResult == placement_result::AllBusy);
}

TEST_CASE_FIXTURE(selector_fixture, "read_refused_by_all_has_no_instance")
{
  mRequirements.mExcluded = 7;
  CHECK(Select().mResult == placement_result::NoneUsable);
}

TEST_CASE_FIXTURE(selector_fixture, "write_goes_to_the_leader_only")
{
  mRequirements.mLeaderOnly = true;
  mCandidates[0].mInFlight = 20;
  CHECK(Select().mInstance == 0);
}

TEST_CASE_FIXTURE(selector_fixture,
                  "write_waits_for_a_leader_that_is_not_ready")
{
  mRequirements.mLeaderOnly = true;
  mCandidates[0].mLeaderReady = false;
  CHECK(Select().mResult == placement_result::NoneUsable);
}

TEST_CASE_FIXTURE(selector_fixture,
                  "write_goes_to_a_draining_leader_until_another_leads")
{
  mRequirements.mLeaderOnly = true;
  mCandidates[0].mDraining = true;
  CHECK(Select().mResult == placement_result::Chosen);
}

TEST_CASE_FIXTURE(selector_fixture, "read_avoids_an_instance_without_room")
{
  mCandidates[1].mHasCapacity = false;
  CHECK(Select().mInstance == 2);
}

TEST_CASE_FIXTURE(selector_fixture, "read_waits_where_no_instance_has_room")
{
  for (instance_candidate& candidate : mCandidates) {
    candidate.mHasCapacity = false;
  }
  CHECK(Select().mResult == placement_result::AllBusy);
}
