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

/// Monotonic clock (CLOCK_BOOTTIME) that includes time while the VM is
/// suspended.
class boot_clock : public clock_source
{
public:
  time_point Now() const override;
};

/// Single-threaded event loop for asynchronous I/O and fibers.
///
/// Socket operations and timers complete in the loop; a fiber waits for them
/// with a fiber_wait.  An idle connection uses no fiber.
class event_loop
{
public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  boost::asio::io_context& Context() { return mContext; }
  const clock_source& Clock() const { return mClock; }

  /// Creates a fiber; it first runs when the current fiber next yields.
  void Spawn(std::function<void()> aJob);

  /// Runs each job in its own fiber and suspends the calling fiber until all
  /// have completed.
  void RunAll(const std::vector<std::function<void()>>& aJobs);

  /// Suspends the calling fiber for the duration.
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

/// One-shot event on which one fiber of the event loop can wait.  Not
/// thread-safe: other threads post the call of Notify to the event loop.
class fiber_wait
{
public:
  /// Suspends the calling fiber until Notify is called; returns immediately if
  /// it already was.
  void Wait();
  /// Resumes the waiting fiber.  Calls after the first have no effect.
  void Notify();

private:
  boost::fibers::context* mWaiter = nullptr;
  bool mNotified = false;
};

} // namespace catkinloom
