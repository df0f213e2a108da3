#pragma once

#include "clCallerTable.h"
#include "clClock.h"

#include <deque>
#include <optional>
#include <vector>

namespace catkinloom {

/// Names one waiting request within its queue.
using ticket_number = std::uint64_t;

/// Requests that wait for one instance's connections.
///
/// Caller classes take turns by weight.  Within a class the oldest goes
/// first, and one whose deadline cannot be met any more is dropped instead of
/// served, so that no connection is spent on an answer that nobody awaits.
class admission_queue
{
public:
  explicit admission_queue(caller_table& aCallers)
    : mCallers(aCallers)
  {
  }

  /// Adds a request; empty when its class has too many waiting already.
  std::optional<ticket_number> Push(caller_number aCaller,
                                    time_point aNow,
                                    time_point aDeadline);

  /// Takes the request whose turn it is and counts it as in flight.
  /// aExpected is the time that an answer usually takes.
  std::optional<ticket_number> Pop(time_point aNow, nanoseconds aExpected);

  /// Takes out a request that gave up waiting.
  void Remove(ticket_number aTicket);

  /// Tells that a popped request of the class has ended.
  void Finish(caller_number aCaller);

  std::size_t Size() const { return mSize; }

  /// Hands out the requests that Pop dropped since the last call.
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
    /// Grows by 1/weight with each request served; the least goes next.
    double mVirtualTime = 0;
  };

  class_queue& QueueOf(caller_number aCaller);
  std::optional<caller_number> NextCaller() const;
  void DropUnmeetableDeadlines(caller_number aCaller,
                               time_point aNow,
                               nanoseconds aExpected);
  void PopFront(caller_number aCaller);

  caller_table& mCallers;
  std::vector<class_queue> mQueues;
  ticket_number mNextTicket = 1;
  std::size_t mSize = 0;
  std::vector<ticket_number> mDropped;
};

} // namespace catkinloom
