#pragma once

#include "clClock.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/fss.hpp>
#include <boost/fiber/pooled_fixedsize_stack.hpp>
#include <functional>
#include <vector>

namespace catkinloom {

/// Clock of the running system; counts time while the VM is suspended.
class boot_clock : public clock_source
{
public:
  time_point Now() const override;
};

/// One thread that runs socket events and fibers.
///
/// Socket operations and timers complete in the loop; a fiber that needs one
/// waits in a fiber_wait.  A connection that only waits holds no fiber.
class event_loop
{
public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  boost::asio::io_context& Context() { return mContext; }
  const clock_source& Clock() const { return mClock; }

  /// Starts a fiber; it runs when the loop next yields.
  void Spawn(std::function<void()> aJob);

  /// Runs each job in a fiber of its own and suspends the calling fiber until
  /// all have ended.
  void RunAll(const std::vector<std::function<void()>>& aJobs);

  /// Suspends the calling fiber.
  void Sleep(nanoseconds aDuration);

  /// Runs until Stop is called.
  void Run();
  void Stop() { mStopped = true; }

private:
  boost::asio::io_context mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWorkGuard;
  boost::fibers::pooled_fixedsize_stack mStackAllocator;
  boot_clock mClock;
  bool mStopped = false;
};

/// A fiber's wait for one event of the same event loop.
class fiber_wait
{
public:
  /// Suspends the calling fiber until Notify; returns at once after it.
  void Wait();
  /// Wakes the waiting fiber.  Calls after the first change nothing.
  void Notify();

private:
  boost::fibers::context* mWaiter = nullptr;
  bool mNotified = false;
};

} // namespace catkinloom
