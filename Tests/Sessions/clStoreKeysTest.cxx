#include "clStoreKeys.h"

#include <doctest/doctest.h>

using namespace catkinloom;

TEST_CASE("failover_record_encoded_and_decoded_is_equal")
{
  failover_record record;
  record.mPhase = failover_phase::InProgress;
  record.mCommitsStopped = true;
  record.mLeader = "i-1";
  record.mFloor = { 3, 1207 };
  record.mConfirmedFloor = { 3, 1205 };
  record.mHolder = "proxy-1";
  record.mPossibleLeaders = { "i-2", "i-3" };
  record.mCommand = { 1208, "proxy-2" };
  record.mWrittenIn = 2;
  record.mSupersedes = { 1, 24 };
  const auto read = DecodeFailoverRecord(EncodeFailoverRecord(record));
  REQUIRE(read);
  CHECK(read.value() == record);
}

TEST_CASE("failover_record_not_valid_is_an_error")
{
  CHECK_FALSE(DecodeFailoverRecord("{}"));
  CHECK_FALSE(DecodeFailoverRecord(""));
}

TEST_CASE("failover_record_of_older_build_is_of_no_generation")
{
  const auto read = DecodeFailoverRecord(
    R"({"contested":false,"commits_stopped":false,"leader":"i-1",)"
    R"("floor_term":1,"floor_index":2,"holder":"p","may_lead":[]})");
  REQUIRE(read);
  CHECK(read.value().mWrittenIn == 0);
  CHECK(read.value().mConfirmedFloor == log_position{ 1, 2 });
  CHECK(read.value().mCommand == command_id{});
  CHECK(read.value().mSupersedes == record_version{});
}

TEST_CASE("membership_record_encoded_and_decoded_is_equal")
{
  instance_entry member;
  member.mId = "i-1";
  member.mService = "core";
  member.mAddress = "10.0.0.1:8000";
  member.mZone = "zone-a";
  member.mSlots = 3;
  member.mStartedAt = 1700000000000;
  membership_record record;
  record.mMembers = { member, member };
  record.mMembers.back().mId = "i-2";
  record.mFloor = { 2, 14 };
  const auto read =
    DecodeMembershipRecord("core", EncodeMembershipRecord(record));
  REQUIRE(read);
  CHECK(read.value() == record);
}

TEST_CASE("membership_record_not_valid_is_an_error")
{
  CHECK_FALSE(DecodeMembershipRecord("core", "{}"));
  CHECK_FALSE(DecodeMembershipRecord("core", ""));
  CHECK_FALSE(DecodeMembershipRecord(
    "core", R"({"members":[{}],"floor_term":1,"floor_index":2})"));
}
