#include "clEventLoop.h"

#include "clLog.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <ctime>

namespace catkinloom {

namespace {

constexpr std::size_t kFiberStackBytes = 131072;

/// Round-robin fiber scheduler that also reports whether a fiber other than the
/// dispatcher is ready.
class fiber_scheduler : public boost::fibers::algo::algorithm
{
public:
  void awakened(boost::fibers::context* aContext) noexcept override
  {
    aContext->ready_link(mQueue);
    mReadyFibers += IsDispatcher(aContext) ? 0 : 1;
  }

  boost::fibers::context* pick_next() noexcept override
  {
    if (mQueue.empty()) {
      return nullptr;
    }
    boost::fibers::context* context = &mQueue.front();
    mQueue.pop_front();
    mReadyFibers -= IsDispatcher(context) ? 0 : 1;
    return context;
  }

  bool has_ready_fibers() const noexcept override { return mReadyFibers > 0; }

  // The event loop's own fiber blocks only in the I/O context and is otherwise
  // always ready, so the scheduler never has to wait here.
  void suspend_until(
    const std::chrono::steady_clock::time_point&) noexcept override
  {
  }
  void notify() noexcept override {}

private:
  static bool IsDispatcher(boost::fibers::context* aContext)
  {
    return aContext->is_context(boost::fibers::type::dispatcher_context);
  }

  boost::fibers::scheduler::ready_queue_type mQueue;
  std::size_t mReadyFibers = 0;
};

thread_local fiber_scheduler* sScheduler = nullptr;

} // namespace

time_point
boot_clock::Now() const
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point(std::chrono::seconds(now.tv_sec) +
                    nanoseconds(now.tv_nsec));
}

event_loop::event_loop()
  : mContext(1)
  , mWorkGuard(mContext.get_executor())
  , mStackAllocator(kFiberStackBytes)
{
  // Fibers may be queued in the scheduling algorithm, so it is installed once
  // per thread and reused by later event loops on the same thread.
  if (sScheduler != nullptr) {
    return;
  }
  boost::intrusive_ptr<fiber_scheduler> algorithm(new fiber_scheduler);
  sScheduler = algorithm.get();
  boost::fibers::context::active()->get_scheduler()->set_algo(algorithm);
}

event_loop::~event_loop() = default;

void
event_loop::Spawn(std::function<void()> aJob)
{
  boost::fibers::fiber(boost::fibers::launch::post,
                       std::allocator_arg,
                       mStackAllocator,
                       std::move(aJob))
    .detach();
}

void
event_loop::RunAll(const std::vector<std::function<void()>>& aJobs)
{
  std::size_t pending = aJobs.size();
  fiber_wait allDone;
  for (const auto& job : aJobs) {
    Spawn([&job, &pending, &allDone] {
      job();
      --pending;
      if (pending == 0) {
        allDone.Notify();
      }
    });
  }
  if (pending > 0) {
    allDone.Wait();
  }
}

void
event_loop::Sleep(nanoseconds aDuration)
{
  boost::asio::steady_timer timer(mContext, aDuration);
  fiber_wait wait;
  timer.async_wait(
    [&wait](const boost::system::error_code&) { wait.Notify(); });
  wait.Wait();
}

void
event_loop::Run()
{
  while (!mStopped) {
    if (sScheduler->has_ready_fibers()) {
      mContext.poll();
      boost::this_fiber::yield();
      continue;
    }
    if (mContext.poll() == 0 && !sScheduler->has_ready_fibers()) {
      log_writer::Instance().Flush();
      mContext.run_one();
    }
  }
  log_writer::Instance().Flush();
}

void
fiber_wait::Wait()
{
  if (mNotified) {
    return;
  }
  mWaiter = boost::fibers::context::active();
  while (!mNotified) {
    mWaiter->suspend();
  }
}

void
fiber_wait::Notify()
{
  if (mNotified) {
    return;
  }
  mNotified = true;
  if (mWaiter != nullptr) {
    boost::fibers::context::active()->schedule(mWaiter);
  }
}

} // namespace catkinloom
