#include "clFiberSignal.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>

namespace catkinloom {

void
fiber_signal::WaitUntil(time_point aDeadline)
{
  const nanoseconds remaining = aDeadline - mLoop.Clock().Now();
  if (remaining <= nanoseconds::zero()) {
    return;
  }
  auto wait = std::make_shared<fiber_wait>();
  mWaiters.push_back(wait);
  boost::asio::steady_timer timer(mLoop.Context(), remaining);
  timer.async_wait(
    [wait](const boost::system::error_code&) { wait->Notify(); });
  wait->Wait();
  std::erase(mWaiters, wait);
}

void
fiber_signal::Notify()
{
  std::vector<std::shared_ptr<fiber_wait>> waiters;
  waiters.swap(mWaiters);
  for (const auto& waiter : waiters) {
    waiter->Notify();
  }
}

} // namespace catkinloom
