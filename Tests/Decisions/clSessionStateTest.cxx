#include "clSessionState.h"

#include <doctest/doctest.h>

using namespace catkinloom;

namespace {

struct preparation_fixture
{
  connection_preparation Plan(
    const std::optional<prepared_statement>& aNeeded = std::nullopt) const
  {
    return PlanPreparation(mSession, mConnection, aNeeded);
  }

  session_state mSession;
  connection_session_state mConnection;
};

const prepared_statement kRead{ access_mode::Read, "q1" };
const prepared_statement kWrite{ access_mode::Write, "q1" };

} // namespace

TEST_CASE_FIXTURE(preparation_fixture, "preparation_equal_values_is_empty")
{
  mSession.mValues = { { "zone", "a" } };
  mConnection.mValues = { { "zone", "a" } };
  CHECK(Plan().IsEmpty());
}

TEST_CASE_FIXTURE(preparation_fixture, "preparation_different_value_is_set")
{
  mSession.mValues = { { "zone", "a" } };
  mConnection.mValues = { { "zone", "b" } };
  const connection_preparation plan = Plan();
  CHECK_FALSE(plan.mReset);
  REQUIRE(plan.mSetValues.size() == 1);
  CHECK(plan.mSetValues[0].second == "a");
}

TEST_CASE_FIXTURE(preparation_fixture,
                  "preparation_foreign_value_requires_reset")
{
  mSession.mValues = { { "zone", "a" } };
  mConnection.mValues = { { "zone", "a" }, { "role", "clerk" } };
  const connection_preparation plan = Plan();
  CHECK(plan.mReset);
  CHECK(plan.mSetValues.size() == 1);
}

TEST_CASE_FIXTURE(preparation_fixture,
                  "preparation_reset_prepares_statement_again")
{
  mConnection.mValues = { { "role", "clerk" } };
  mConnection.mPrepared = { SharedNameOf(kRead) };
  const connection_preparation plan = Plan(kRead);
  CHECK(plan.mReset);
  CHECK(plan.mPrepareName == SharedNameOf(kRead));
}

TEST_CASE_FIXTURE(preparation_fixture,
                  "preparation_prepared_statement_is_reused")
{
  mConnection.mPrepared = { SharedNameOf(kRead) };
  CHECK(Plan(kRead).IsEmpty());
}

TEST_CASE("shared_name_same_shape_other_mode_differs")
{
  CHECK(SharedNameOf(kRead) != SharedNameOf(kWrite));
}

TEST_CASE_FIXTURE(preparation_fixture, "preparation_applied_is_empty")
{
  mSession.mValues = { { "zone", "a" } };
  mConnection.mValues = { { "role", "clerk" } };
  ApplyPreparation(Plan(kWrite), mConnection);
  CHECK(Plan(kWrite).IsEmpty());
}
