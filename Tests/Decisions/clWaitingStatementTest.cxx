#include "clWaitingStatement.h"
#include "clGroupTestData.h"

#include <doctest/doctest.h>

#include <vector>

using namespace catkinloom;

namespace {

/// After a restart of all proxies: a backlog that is late already, and new
/// statements behind it.
struct backlog_fixture
{
  backlog_fixture()
  {
    for (int i = 0; i < 3; ++i) {
      mQueue.push_back({ 2, At(1000 + i), At(1100), false, false });
    }
    mQueue.push_back({ 2, At(1200), At(1300), false, false });
    mQueue.push_back({ 2, At(1210), At(1310), true, false });
  }

  const waiting_statement* Next(bool aIsLeader)
  {
    return ChooseNext(mQueue, aIsLeader, At(1250));
  }

  std::vector<waiting_statement> mQueue;
};

} // namespace

TEST_CASE_FIXTURE(backlog_fixture, "backlog_does_not_delay_statement_in_time")
{
  CHECK(Next(false) == &mQueue[3]);
  mQueue[3].mIsNotified = true;
  CHECK(Next(true) == &mQueue[4]);
}

TEST_CASE_FIXTURE(backlog_fixture, "backlog_is_served_oldest_first_when_late")
{
  mQueue[3].mIsNotified = true;
  CHECK(Next(false) == &mQueue[0]);
  mQueue[0].mIsNotified = true;
  CHECK(Next(false) == &mQueue[1]);
}

TEST_CASE_FIXTURE(backlog_fixture, "queue_orders_by_priority_then_age")
{
  const waiting_statement urgent{ 1, At(1240), At(1300), false, false };
  CHECK(PrecedesInQueue(urgent, mQueue[0]));
  CHECK(PrecedesInQueue(mQueue[0], mQueue[1]));
  CHECK_FALSE(PrecedesInQueue(mQueue[0], mQueue[0]));
}
