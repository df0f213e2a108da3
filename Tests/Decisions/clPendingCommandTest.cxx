#include "clPendingCommand.h"
#include "clGroupTestData.h"

#include <doctest/doctest.h>

using namespace catkinloom;

namespace {

constexpr milliseconds kLifetime{ 1000 };

failover_record
Naming(std::uint64_t aRevision, std::uint64_t aToken)
{
  failover_record record;
  record.mVersion = { kFirstGeneration, aRevision };
  record.mPossibleLeaders = { "a" };
  record.mCommand = { aToken, aToken == 0 ? "" : "p" };
  return record;
}

struct pending_command_fixture
{
  pending_command mCommand;
};

} // namespace

TEST_CASE_FIXTURE(pending_command_fixture,
                  "pending_command_record_without_one_is_not_pending")
{
  mCommand.OnRecord(failover_record{}, At(0), kLifetime);
  CHECK_FALSE(mCommand.IsPendingAt(At(0)));
  CHECK_FALSE(mCommand.Until());
}

// Issue 34: a group had no leader, since each proxy that took the attempt over
// began the lifetime anew.
TEST_CASE_FIXTURE(pending_command_fixture,
                  "pending_command_carried_over_by_newer_record_still_expires")
{
  mCommand.OnRecord(Naming(5, 6), At(0), kLifetime);
  mCommand.OnRecord(Naming(9, 6), At(800), kLifetime);
  CHECK(mCommand.IsPendingAt(At(999)));
  CHECK_FALSE(mCommand.IsPendingAt(At(1000)));
}

TEST_CASE_FIXTURE(pending_command_fixture,
                  "pending_command_with_newer_token_is_pending_anew")
{
  mCommand.OnRecord(Naming(5, 6), At(0), kLifetime);
  mCommand.OnRecord(Naming(9, 10), At(800), kLifetime);
  CHECK(mCommand.IsPendingAt(At(1799)));
  CHECK_FALSE(mCommand.IsPendingAt(At(1800)));
}

TEST_CASE_FIXTURE(pending_command_fixture,
                  "pending_command_cleared_from_record_is_not_pending")
{
  mCommand.OnRecord(Naming(5, 6), At(0), kLifetime);
  mCommand.OnRecord(failover_record{}, At(10), kLifetime);
  CHECK_FALSE(mCommand.IsPendingAt(At(10)));
}

TEST_CASE_FIXTURE(pending_command_fixture,
                  "pending_command_of_older_build_is_pending_anew_each_version")
{
  mCommand.OnRecord(Naming(5, 0), At(0), kLifetime);
  mCommand.OnRecord(Naming(9, 0), At(800), kLifetime);
  CHECK(mCommand.IsPendingAt(At(1799)));
}

// Issue 34: after a write of the record without a response the writer would
// wait for a command that it has never sent.
TEST_CASE_FIXTURE(pending_command_fixture,
                  "pending_command_withdrawn_by_its_issuer_is_not_pending")
{
  mCommand.OnWithdrawn({ 6, "p" }, At(0));
  mCommand.OnRecord(Naming(6, 6), At(10), kLifetime);
  CHECK_FALSE(mCommand.IsPendingAt(At(10)));
  mCommand.OnRecord(Naming(8, 9), At(20), kLifetime);
  CHECK(mCommand.IsPendingAt(At(20)));
  mCommand.OnWithdrawn({ 9, "p" }, At(30));
  CHECK_FALSE(mCommand.IsPendingAt(At(30)));
}

TEST_CASE_FIXTURE(pending_command_fixture,
                  "pending_command_of_other_issuer_stays_pending")
{
  mCommand.OnWithdrawn({ 6, "q" }, At(0));
  mCommand.OnRecord(Naming(6, 6), At(10), kLifetime);
  CHECK(mCommand.IsPendingAt(At(10)));
}

TEST_CASE("fencing_token_next_one_is_above_token_and_version_of_record")
{
  CHECK(NextFencingToken(Naming(5, 0)) == 6);
  CHECK(NextFencingToken(Naming(5, 9)) == 10);
  failover_record restored = Naming(5, 9);
  restored.mVersion.mGeneration = kFirstGeneration + 1;
  CHECK(NextFencingToken(restored) > NextFencingToken(Naming(1000000, 0)));
}
