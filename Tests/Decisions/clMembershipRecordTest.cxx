#include "clMembershipRecord.h"

#include <doctest/doctest.h>

using namespace catkinloom;

namespace {

instance_entry
Entry(const std::string& aId, std::int64_t aStartedAt = 1)
{
  instance_entry entry;
  entry.mId = aId;
  entry.mAddress = "10.0.0.1:" + aId;
  entry.mStartedAt = aStartedAt;
  return entry;
}

/// A group of three whose record is up to date.
struct membership_fixture
{
  membership_fixture()
  {
    mRecord.mMembers = { Entry("i-1"), Entry("i-2"), Entry("i-3") };
    mRecord.mFloor = { 1, 5 };
    mRecord.mVersion = { 1, 7 };
    mObservation.mListed = mRecord.mMembers;
    mObservation.mLeader = "i-1";
    mObservation.mLossFloor = { 1, 9 };
  }

  membership_record mRecord;
  group_observation mObservation;
};

} // namespace

TEST_CASE_FIXTURE(membership_fixture, "membership_unchanged_is_not_written")
{
  CHECK_FALSE(NextMembership(mRecord, mObservation));
}

TEST_CASE_FIXTURE(membership_fixture, "membership_absent_record_is_written")
{
  const auto next = NextMembership({}, mObservation);
  REQUIRE(next);
  CHECK(next->mMembers == mRecord.mMembers);
  CHECK(next->mFloor == log_position{});
}

TEST_CASE_FIXTURE(membership_fixture, "membership_new_instance_is_added")
{
  mObservation.mListed.push_back(Entry("i-4"));
  const auto next = NextMembership(mRecord, mObservation);
  REQUIRE(next);
  CHECK(next->mMembers.size() == 4);
  CHECK(next->mFloor == mRecord.mFloor);
  CHECK(next->mVersion == mRecord.mVersion);
}

TEST_CASE_FIXTURE(membership_fixture, "membership_missing_instance_is_kept")
{
  mObservation.mListed.pop_back();
  mObservation.mMissing = { Entry("i-3") };
  CHECK_FALSE(NextMembership(mRecord, mObservation));
}

TEST_CASE_FIXTURE(membership_fixture, "membership_unknown_loss_is_kept")
{
  mObservation.mListed.pop_back();
  mObservation.mHasUnknownLoss = true;
  CHECK_FALSE(NextMembership(mRecord, mObservation));
}

TEST_CASE_FIXTURE(membership_fixture,
                  "membership_covered_loss_is_dropped_with_its_floor")
{
  mObservation.mListed.pop_back();
  const auto next = NextMembership(mRecord, mObservation);
  REQUIRE(next);
  CHECK(next->mMembers == mObservation.mListed);
  CHECK(next->mFloor == log_position{ 1, 9 });
}

TEST_CASE_FIXTURE(membership_fixture, "membership_floor_is_never_lowered")
{
  mObservation.mListed.pop_back();
  mObservation.mLossFloor = { 1, 2 };
  const auto next = NextMembership(mRecord, mObservation);
  REQUIRE(next);
  CHECK(next->mFloor == mRecord.mFloor);
}

TEST_CASE_FIXTURE(membership_fixture, "membership_unlisted_leader_is_kept")
{
  mObservation.mListed.erase(mObservation.mListed.begin());
  CHECK_FALSE(NextMembership(mRecord, mObservation));
  mObservation.mLeader = "i-2";
  CHECK(NextMembership(mRecord, mObservation));
}

TEST_CASE_FIXTURE(membership_fixture,
                  "membership_restarted_instance_is_kept_until_covered")
{
  mObservation.mListed.back() = Entry("i-3", 2);
  mObservation.mHasUnknownLoss = true;
  const auto both = NextMembership(mRecord, mObservation);
  REQUIRE(both);
  CHECK(
    both->mMembers ==
    std::vector{ Entry("i-1"), Entry("i-2"), Entry("i-3"), Entry("i-3", 2) });
  mObservation.mHasUnknownLoss = false;
  const auto next = NextMembership(*both, mObservation);
  REQUIRE(next);
  CHECK(next->mMembers == mObservation.mListed);
}
