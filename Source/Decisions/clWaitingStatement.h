#pragma once

#include "clClock.h"

#include <cstdint>
#include <tuple>

namespace catkinloom {

/// A statement that waits in the proxy for a connection to an instance.
struct waiting_statement
{
  /// 0 is the highest priority.
  std::uint32_t mPriority = 0;
  time_point mReceivedAt;
  /// A connection acquired by this time still meets the target latency.
  time_point mTargetDeadline;
  /// Only the leader may execute it.
  bool mLeaderOnly = false;
  /// It was notified and has not run yet.
  bool mIsNotified = false;
};

/// Order of the queue: by priority, and by age within a priority.
inline bool
PrecedesInQueue(const waiting_statement& aLeft, const waiting_statement& aRight)
{
  return std::tie(aLeft.mPriority, aLeft.mReceivedAt) <
         std::tie(aRight.mPriority, aRight.mReceivedAt);
}

/// The next statement for an instance that has capacity again; null if none of
/// aQueue fits it.  One that can still meet its target latency precedes one
/// that can't, so that a backlog does not make every later statement late.
template<class Queue>
auto
ChooseNext(Queue& aQueue, bool aIsLeader, time_point aNow)
  -> decltype(&*aQueue.begin())
{
  decltype(&*aQueue.begin()) firstLate = nullptr;
  for (auto& waiting : aQueue) {
    if (waiting.mIsNotified || (waiting.mLeaderOnly && !aIsLeader)) {
      continue;
    }
    if (aNow < waiting.mTargetDeadline) {
      return &waiting;
    }
    firstLate = firstLate == nullptr ? &waiting : firstLate;
  }
  return firstLate;
}

} // namespace catkinloom
