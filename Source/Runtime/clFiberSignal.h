#pragma once

#include "clClock.h"
#include "clEventLoop.h"

#include <memory>
#include <vector>

namespace catkinloom {

/// Lets many fibers wait for the next change of something.
class fiber_signal
{
public:
  explicit fiber_signal(event_loop& aLoop)
    : mLoop(aLoop)
  {
  }

  /// Suspends the calling fiber until Raise or until the moment has come.
  void WaitUntil(time_point aDeadline);

  /// Wakes every waiting fiber.
  void Notify();

private:
  event_loop& mLoop;
  std::vector<std::shared_ptr<fiber_wait>> mWaiters;
};

} // namespace catkinloom
