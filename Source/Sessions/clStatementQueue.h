#pragma once

#include "clEventLoop.h"
#include "clWaitingStatement.h"

#include <list>

namespace catkinloom {

/// Statements of one group that wait for a connection, each in its own fiber.
class statement_queue
{
public:
  explicit statement_queue(event_loop& aLoop)
    : mLoop(aLoop)
  {
  }

  /// Suspends the calling fiber until it is notified, and until aUntil at most.
  void Wait(const waiting_statement& aStatement, time_point aUntil);

  /// Notifies the next statement that may use an instance.
  void NotifyNext(bool aIsLeader);

  void NotifyAll();

private:
  struct entry : waiting_statement
  {
    fiber_wait* mWait = nullptr;
  };

  event_loop& mLoop;
  std::list<entry> mEntries;
};

} // namespace catkinloom
