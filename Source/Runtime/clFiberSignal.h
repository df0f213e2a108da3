#pragma once

#include "clClock.h"
#include "clEventLoop.h"

#include <memory>
#include <vector>

namespace catkinloom {

/// Condition on which several fibers can wait with a deadline.
class fiber_signal
{
public:
  explicit fiber_signal(event_loop& aLoop)
    : mLoop(aLoop)
  {
  }

  /// Suspends the calling fiber until Notify is called or the deadline passes.
  void WaitUntil(time_point aDeadline);

  /// Resumes all waiting fibers.
  void Notify();

private:
  event_loop& mLoop;
  std::vector<std::shared_ptr<fiber_wait>> mWaiters;
};

} // namespace catkinloom
