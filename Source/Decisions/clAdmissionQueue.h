#pragma once

#include "clCallerClassTable.h"
#include "clClock.h"

#include <deque>
#include <optional>
#include <vector>

namespace catkinloom {

/// Identifies a waiting request within its queue.
using ticket_number = std::uint64_t;

/// Requests that wait for a connection to one instance.
///
/// Caller classes are served by weighted fair queueing. Within a class the
/// oldest request is served first. A request whose deadline can no longer be
/// met is dropped, so that no connection is spent on a response that the caller
/// no longer waits for.
class admission_queue
{
public:
  explicit admission_queue(caller_class_table& aCallers)
    : mCallers(aCallers)
  {
  }

  /// Adds a request. Returns empty if the queue of its class is full.
  std::optional<ticket_number> Push(caller_class_number aClass,
                                    time_point aNow,
                                    time_point aDeadline);

  /// Removes the request that is next to be served and counts it as in flight.
  /// aExpected is the estimated response time. Returns empty if no request
  /// waits, or if each class with a waiting request has reached its limit of
  /// requests in flight.
  std::optional<ticket_number> Pop(time_point aNow, nanoseconds aExpected);

  /// Removes a request that no longer waits.
  void Remove(ticket_number aTicket);

  /// Records that a popped request of the class has ended.
  void Finish(caller_class_number aClass);

  std::size_t Size() const { return mSize; }

  /// Returns the requests that Pop dropped since the last call.
  std::vector<ticket_number> DrainDropped();

private:
  struct waiting_request
  {
    ticket_number mTicket;
    time_point mPushedAt;
    time_point mDeadline;
  };

  struct class_queue
  {
    std::deque<waiting_request> mWaiting;
    /// Grows by 1/weight with each request served; the class with the smallest
    /// value is served next.
    double mVirtualTime = 0;
  };

  class_queue& QueueOf(caller_class_number aClass);
  std::optional<caller_class_number> NextClass() const;
  void DropUnmeetableDeadlines(caller_class_number aClass,
                               time_point aNow,
                               nanoseconds aExpected);
  void PopFront(caller_class_number aClass);

  caller_class_table& mCallers;
  std::vector<class_queue> mQueues;
  ticket_number mNextTicket = 1;
  std::size_t mSize = 0;
  std::vector<ticket_number> mDropped;
};

} // namespace catkinloom
