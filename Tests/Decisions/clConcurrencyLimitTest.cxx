#include "clConcurrencyLimit.h"
#include "clGroupTestData.h"

#include <algorithm>
#include <array>
#include <deque>
#include <doctest/doctest.h>

using namespace catkinloom;

namespace {

struct concurrency_limit_fixture
{
  void Serve(int aTimes)
  {
    for (int i = 0; i < aTimes; ++i) {
      mLimit.OnServed(mLimit.Limit(), milliseconds(30));
    }
  }

  concurrency_limit mLimit;
};

/// Four proxies whose backlog exceeds the capacity of one instance with five
/// slots and a queue of 40, as after a restart of all proxies.
struct recovery_fixture
{
  static constexpr std::size_t kSlots = 5;
  static constexpr std::size_t kQueue = 40;
  static constexpr int kRoundMs = 30;

  struct queued_statement
  {
    std::size_t mProxy;
    int mSentMs;
  };

  /// One round of service: every slot completes a statement, then each proxy
  /// sends as many statements as its limit allows.
  void RunRound(int aNowMs)
  {
    for (std::size_t i = 0; i < kSlots && !mQueue.empty(); ++i) {
      const queued_statement next = mQueue.front();
      mQueue.pop_front();
      const milliseconds responseTime(aNowMs - next.mSentMs);
      mLimits[next.mProxy].OnServed(mInFlight[next.mProxy], responseTime);
      --mInFlight[next.mProxy];
      ++mServed;
      mSlowest = std::max(mSlowest, responseTime);
    }
    for (std::size_t proxy = 0; proxy < mLimits.size(); ++proxy) {
      while (mLimits[proxy].HasCapacity(mInFlight[proxy])) {
        if (mQueue.size() >= kSlots + kQueue) {
          mLimits[proxy].OnRefused(At(aNowMs));
          ++mRefused;
          break;
        }
        mQueue.push_back({ proxy, aNowMs });
        ++mInFlight[proxy];
      }
    }
  }

  std::array<concurrency_limit, 4> mLimits;
  std::array<std::uint32_t, 4> mInFlight{};
  std::deque<queued_statement> mQueue;
  int mServed = 0;
  int mRefused = 0;
  milliseconds mSlowest{ 0 };
};

} // namespace

TEST_CASE_FIXTURE(concurrency_limit_fixture,
                  "limit_after_as_many_responses_increases_by_one")
{
  const std::uint32_t before = mLimit.Limit();
  Serve(static_cast<int>(before) + 1);
  CHECK(mLimit.Limit() == before + 1);
}

TEST_CASE_FIXTURE(concurrency_limit_fixture, "limit_unused_does_not_increase")
{
  for (int i = 0; i < 1000; ++i) {
    mLimit.OnServed(1, milliseconds(30));
  }
  CHECK(mLimit.Limit() == 2);
}

TEST_CASE_FIXTURE(concurrency_limit_fixture,
                  "limit_refusals_of_one_full_queue_decrease_once")
{
  Serve(200);
  const std::uint32_t before = mLimit.Limit();
  mLimit.OnRefused(At(1000));
  const std::uint32_t once = mLimit.Limit();
  mLimit.OnRefused(At(1010));
  CHECK(once < before);
  CHECK(mLimit.Limit() == once);
}

TEST_CASE_FIXTURE(concurrency_limit_fixture,
                  "limit_after_many_refusals_is_at_least_one")
{
  for (int i = 0; i < 100; ++i) {
    mLimit.OnRefused(At(1000 + 100 * i));
  }
  CHECK(mLimit.HasCapacity(0));
}

TEST_CASE_FIXTURE(recovery_fixture,
                  "recovery_keeps_instance_busy_with_short_response_times")
{
  constexpr int kRounds = 300;
  for (int i = 0; i < kRounds; ++i) {
    RunRound(1000 + kRoundMs * i);
  }
  CHECK(mServed >= static_cast<int>(kSlots) * (kRounds - 5));
  CHECK(mRefused == 0);
  CHECK(mSlowest < milliseconds(300));
}

TEST_CASE_FIXTURE(concurrency_limit_fixture, "limit_slow_responses_decrease")
{
  Serve(100);
  const std::uint32_t before = mLimit.Limit();
  for (int i = 0; i < 40; ++i) {
    mLimit.OnServed(before, milliseconds(600));
  }
  CHECK(mLimit.Limit() < before);
}
