#include "clPrimaryHealth.h"
#include "clGroupTestData.h"

#include <doctest/doctest.h>

using namespace catkinloom;

namespace {

struct health_fixture
{
  primary_health mHealth;
};

} // namespace

TEST_CASE_FIXTURE(health_fixture, "health_without_requests_is_responsive")
{
  CHECK(mHealth.UnresponsiveFor(At(5000)) == nanoseconds(0));
}

TEST_CASE_FIXTURE(health_fixture,
                  "health_pending_request_is_unresponsive_since_sent")
{
  mHealth.RecordSent(At(1000), false);
  CHECK(mHealth.UnresponsiveFor(At(1300)) == milliseconds(300));
}

TEST_CASE_FIXTURE(health_fixture,
                  "health_any_response_resets_unresponsive_time")
{
  mHealth.RecordSent(At(1000), false);
  mHealth.RecordSent(At(1000), false);
  mHealth.RecordAnswered(At(1200), false);
  CHECK(mHealth.UnresponsiveFor(At(1300)) == milliseconds(100));
}

TEST_CASE_FIXTURE(health_fixture,
                  "health_lost_request_is_unresponsive_until_response")
{
  mHealth.RecordSent(At(1000), false);
  mHealth.RecordLost(false);
  CHECK(mHealth.UnresponsiveFor(At(1400)) == milliseconds(400));
}

// Guards against a false failover after a restart: the only commit had been
// lost with its connection, and no other request was sent for 600 ms.
TEST_CASE_FIXTURE(health_fixture,
                  "health_commit_lost_with_connection_is_not_pending")
{
  mHealth.RecordSent(At(1000), true);
  mHealth.RecordLost(true);
  CHECK(mHealth.CommitsPendingFor(At(2000)) == nanoseconds(0));
}

TEST_CASE_FIXTURE(health_fixture,
                  "health_pending_commit_counts_despite_read_responses")
{
  mHealth.RecordSent(At(1000), true);
  mHealth.RecordSent(At(1500), false);
  mHealth.RecordAnswered(At(1510), false);
  CHECK(mHealth.CommitsPendingFor(At(1700)) == milliseconds(700));
}
