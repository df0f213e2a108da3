#include "clAdmissionQueue.h"

#include <algorithm>

namespace catkinloom {

admission_queue::class_queue&
admission_queue::QueueOf(caller_class_number aClass)
{
  if (mQueues.size() <= aClass) {
    mQueues.resize(aClass + 1);
  }
  return mQueues[aClass];
}

std::optional<ticket_number>
admission_queue::Push(caller_class_number aClass,
                      time_point aNow,
                      time_point aDeadline)
{
  caller_class_row& callerClass = mCallers.Row(aClass);
  if (callerClass.mWaiting >= callerClass.mDeclared.mMaxQueue) {
    return std::nullopt;
  }
  class_queue& queue = QueueOf(aClass);
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
  ++callerClass.mWaiting;
  ++mSize;
  return mNextTicket++;
}

std::optional<caller_class_number>
admission_queue::NextClass() const
{
  std::optional<caller_class_number> next;
  for (caller_class_number i = 0; i < mQueues.size(); ++i) {
    const caller_class_row& callerClass = mCallers.Row(i);
    const bool mayRun =
      callerClass.mInFlight < callerClass.mDeclared.mMaxInFlight;
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
admission_queue::PopFront(caller_class_number aClass)
{
  mQueues[aClass].mWaiting.pop_front();
  --mCallers.Row(aClass).mWaiting;
  --mSize;
}

void
admission_queue::DropUnmeetableDeadlines(caller_class_number aClass,
                                         time_point aNow,
                                         nanoseconds aExpected)
{
  const auto& waiting = mQueues[aClass].mWaiting;
  while (!waiting.empty()) {
    const waiting_request& front = waiting.front();
    // A request with more than half of its time left is always served: its
    // response corrects an estimate that is far too high.
    const nanoseconds halfTimeout = (front.mDeadline - front.mPushedAt) / 2;
    if (front.mDeadline - aNow >= std::min(aExpected, halfTimeout)) {
      return;
    }
    mDropped.push_back(front.mTicket);
    PopFront(aClass);
  }
}

std::optional<ticket_number>
admission_queue::Pop(time_point aNow, nanoseconds aExpected)
{
  for (caller_class_number i = 0; i < mQueues.size(); ++i) {
    DropUnmeetableDeadlines(i, aNow, aExpected);
  }
  const auto callerClass = NextClass();
  if (!callerClass) {
    return std::nullopt;
  }
  class_queue& queue = mQueues[*callerClass];
  const ticket_number ticket = queue.mWaiting.front().mTicket;
  queue.mVirtualTime += 1.0 / mCallers.Row(*callerClass).mDeclared.mWeight;
  PopFront(*callerClass);
  ++mCallers.Row(*callerClass).mInFlight;
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
  for (caller_class_number i = 0; i < mQueues.size(); ++i) {
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
admission_queue::Finish(caller_class_number aClass)
{
  --mCallers.Row(aClass).mInFlight;
}

} // namespace catkinloom
