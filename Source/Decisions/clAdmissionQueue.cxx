#include "clAdmissionQueue.h"

#include <algorithm>

namespace catkinloom {

admission_queue::class_queue&
admission_queue::QueueOf(caller_number aCaller)
{
  if (mQueues.size() <= aCaller) {
    mQueues.resize(aCaller + 1);
  }
  return mQueues[aCaller];
}

std::optional<ticket_number>
admission_queue::Push(caller_number aCaller,
                      time_point aNow,
                      time_point aDeadline)
{
  caller_row& caller = mCallers.Row(aCaller);
  if (caller.mWaiting >= caller.mDeclared.mMaxQueue) {
    return std::nullopt;
  }
  class_queue& queue = QueueOf(aCaller);
  if (queue.mWaiting.empty()) {
    // A class whose queue was empty must not accumulate turns.
    double minVirtualTime = queue.mVirtualTime;
    bool found = false;
    for (const class_queue& other : mQueues) {
      if (!other.mWaiting.empty()) {
        minVirtualTime = found ? std::min(minVirtualTime, other.mVirtualTime)
                               : other.mVirtualTime;
        found = true;
      }
    }
    queue.mVirtualTime = std::max(queue.mVirtualTime, minVirtualTime);
  }
  queue.mWaiting.push_back({ mNextTicket, aNow, aDeadline });
  ++caller.mWaiting;
  ++mSize;
  return mNextTicket++;
}

std::optional<caller_number>
admission_queue::NextCaller() const
{
  std::optional<caller_number> next;
  for (caller_number i = 0; i < mQueues.size(); ++i) {
    const caller_row& caller = mCallers.Row(i);
    const bool mayRun = caller.mInFlight < caller.mDeclared.mMaxInFlight;
    if (mQueues[i].mWaiting.empty() || !mayRun) {
      continue;
    }
    if (!next || mQueues[i].mVirtualTime < mQueues[*next].mVirtualTime) {
      next = i;
    }
  }
  return next;
}

void
admission_queue::PopFront(caller_number aCaller)
{
  mQueues[aCaller].mWaiting.pop_front();
  --mCallers.Row(aCaller).mWaiting;
  --mSize;
}

void
admission_queue::DropUnmeetableDeadlines(caller_number aCaller,
                                         time_point aNow,
                                         nanoseconds aExpected)
{
  const auto& waiting = mQueues[aCaller].mWaiting;
  while (!waiting.empty()) {
    const waiting_request& front = waiting.front();
    // A request with more than half of its time left is always served: its
    // response corrects an estimate that is far too high.
    const nanoseconds halfTimeout = (front.mDeadline - front.mPushedAt) / 2;
    if (front.mDeadline - aNow >= std::min(aExpected, halfTimeout)) {
      return;
    }
    mDropped.push_back(front.mTicket);
    PopFront(aCaller);
  }
}

std::optional<ticket_number>
admission_queue::Pop(time_point aNow, nanoseconds aExpected)
{
  for (caller_number i = 0; i < mQueues.size(); ++i) {
    DropUnmeetableDeadlines(i, aNow, aExpected);
  }
  const auto caller = NextCaller();
  if (!caller) {
    return std::nullopt;
  }
  class_queue& queue = mQueues[*caller];
  const ticket_number ticket = queue.mWaiting.front().mTicket;
  queue.mVirtualTime += 1.0 / mCallers.Row(*caller).mDeclared.mWeight;
  PopFront(*caller);
  ++mCallers.Row(*caller).mInFlight;
  return ticket;
}

std::vector<ticket_number>
admission_queue::DrainDropped()
{
  std::vector<ticket_number> dropped;
  dropped.swap(mDropped);
  return dropped;
}

void
admission_queue::Remove(ticket_number aTicket)
{
  for (caller_number i = 0; i < mQueues.size(); ++i) {
    auto& waiting = mQueues[i].mWaiting;
    const auto found = std::find_if(
      waiting.begin(), waiting.end(), [aTicket](const auto& aItem) {
        return aItem.mTicket == aTicket;
      });
    if (found != waiting.end()) {
      waiting.erase(found);
      --mCallers.Row(i).mWaiting;
      --mSize;
      return;
    }
  }
}

void
admission_queue::Finish(caller_number aCaller)
{
  --mCallers.Row(aCaller).mInFlight;
}

} // namespace catkinloom
