#include "clAdmissionQueue.h"
#include "clGroupTestData.h"
#include "clRetryBudget.h"

#include <doctest/doctest.h>
#include <map>

using namespace catkinloom;

namespace {

struct queue_fixture
{
  queue_fixture()
  {
    mCallers.Apply({ { "desk", 3, 1000, 1000 }, { "old", 1, 2, 4 } });
    mDesk = mCallers.Find("desk");
    mOld = mCallers.Find("old");
  }

  caller_class_table mCallers;
  admission_queue mQueue{ mCallers };
  caller_class_number mDesk = 0;
  caller_class_number mOld = 0;
};

} // namespace

TEST_CASE_FIXTURE(queue_fixture, "classes_are_served_in_proportion_to_weight")
{
  std::map<ticket_number, caller_class_number> owners;
  for (int i = 0; i < 12; ++i) {
    owners[*mQueue.Push(mDesk, At(0), At(1000))] = mDesk;
  }
  for (int i = 0; i < 4; ++i) {
    owners[*mQueue.Push(mOld, At(0), At(1000))] = mOld;
  }
  int old = 0;
  for (int i = 0; i < 8; ++i) {
    const caller_class_number owner = owners.at(*mQueue.Pop(At(0), {}));
    old += owner == mOld ? 1 : 0;
    mQueue.Finish(owner);
  }
  CHECK(old == 2);
}

TEST_CASE_FIXTURE(queue_fixture,
                  "class_at_in_flight_limit_waits_and_is_not_refused")
{
  for (int i = 0; i < 4; ++i) {
    REQUIRE(mQueue.Push(mOld, At(0), At(1000)).has_value());
  }
  CHECK(mQueue.Pop(At(0), {}).has_value());
  CHECK(mQueue.Pop(At(0), {}).has_value());
  CHECK_FALSE(mQueue.Pop(At(0), {}).has_value());
  mQueue.Finish(mOld);
  CHECK(mQueue.Pop(At(0), {}).has_value());
}

TEST_CASE_FIXTURE(queue_fixture, "class_with_full_queue_is_refused")
{
  for (int i = 0; i < 4; ++i) {
    REQUIRE(mQueue.Push(mOld, At(0), At(1000)).has_value());
  }
  CHECK_FALSE(mQueue.Push(mOld, At(0), At(1000)).has_value());
  CHECK(mQueue.Push(mDesk, At(0), At(1000)).has_value());
}

TEST_CASE_FIXTURE(queue_fixture, "request_with_unmeetable_deadline_is_dropped")
{
  const auto expired = mQueue.Push(mDesk, At(0), At(100));
  const auto servable = mQueue.Push(mDesk, At(0), At(500));
  CHECK(mQueue.Pop(At(90), milliseconds(20)) == servable);
  CHECK(mQueue.DrainDropped() == std::vector<ticket_number>{ *expired });
  CHECK(mQueue.DrainDropped().empty());
  CHECK(mQueue.Size() == 0);
}

TEST_CASE_FIXTURE(queue_fixture, "excessive_estimate_does_not_starve_the_queue")
{
  // After a failover the estimate may exceed every deadline. If all requests
  // were dropped, no response would correct it.
  const auto fresh = mQueue.Push(mDesk, At(0), At(300));
  CHECK(mQueue.Pop(At(1), milliseconds(5000)) == fresh);
}

TEST_CASE_FIXTURE(queue_fixture, "removed_request_is_not_served")
{
  const auto first = mQueue.Push(mDesk, At(0), At(500));
  const auto second = mQueue.Push(mDesk, At(0), At(500));
  mQueue.Remove(*first);
  CHECK(mQueue.Pop(At(0), {}) == second);
}

TEST_CASE("retry_budget_limits_retries_to_its_percentage")
{
  retry_budget budget(10);
  while (budget.TryRetry()) {
  }
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnRequest();
    retries += budget.TryRetry() ? 1 : 0;
  }
  CHECK(retries == 100);
}
