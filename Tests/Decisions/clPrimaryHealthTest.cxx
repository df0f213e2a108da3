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

TEST_CASE_FIXTURE(health_fixture, "health_without_requests_is_not_silent")
{
  CHECK(mHealth.UnresponsiveFor(At(5000)) == nanoseconds(0));
}

TEST_CASE_FIXTURE(health_fixture,
                  "health_unanswered_request_is_silent_since_it_was_sent")
{
  mHealth.RecordSent(At(1000), false);
  CHECK(mHealth.UnresponsiveFor(At(1300)) == milliseconds(300));
}

TEST_CASE_FIXTURE(health_fixture, "health_any_answer_ends_the_silence")
{
  mHealth.RecordSent(At(1000), false);
  mHealth.RecordSent(At(1000), false);
  mHealth.RecordAnswered(At(1200), false);
  CHECK(mHealth.UnresponsiveFor(At(1300)) == milliseconds(100));
}

TEST_CASE_FIXTURE(health_fixture,
                  "health_lost_request_stays_silent_until_an_answer")
{
  mHealth.RecordSent(At(1000), false);
  mHealth.RecordLost(false);
  CHECK(mHealth.UnresponsiveFor(At(1400)) == milliseconds(400));
}

// Found by a false failover after a restart: the only commit had been lost
// with its connection, and nothing else was asked for 600 ms.
TEST_CASE_FIXTURE(health_fixture,
                  "health_commit_lost_with_its_connection_is_not_stuck")
{
  mHealth.RecordSent(At(1000), true);
  mHealth.RecordLost(true);
  CHECK(mHealth.CommitsPendingFor(At(2000)) == nanoseconds(0));
}

TEST_CASE_FIXTURE(health_fixture,
                  "health_waiting_commit_is_stuck_although_reads_are_answered")
{
  mHealth.RecordSent(At(1000), true);
  mHealth.RecordSent(At(1500), false);
  mHealth.RecordAnswered(At(1510), false);
  CHECK(mHealth.CommitsPendingFor(At(1700)) == milliseconds(700));
}
