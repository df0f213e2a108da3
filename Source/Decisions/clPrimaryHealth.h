#pragma once

#include "clClock.h"

#include <cstdint>

namespace catkinloom {

/// Tracks whether one instance responds to this proxy's requests.
///
/// Any response shows that the instance is running; the response to a commit
/// shows that it still reaches a replica.
class primary_health
{
public:
  void RecordSent(time_point aNow, bool aIsCommit)
  {
    mAll.Start(aNow);
    if (aIsCommit) {
      mCommits.Start(aNow);
    }
  }

  void RecordAnswered(time_point aNow, bool aIsCommit)
  {
    mAll.End(aNow);
    if (aIsCommit) {
      mCommits.End(aNow);
    }
  }

  /// A request ended without a response.
  void RecordLost(bool aIsCommit)
  {
    mAll.MarkLost();
    if (aIsCommit) {
      mCommits.MarkLost();
    }
  }

  /// Time for which requests have been pending or lost without any response; 0
  /// if none is pending and none was lost since the last response.
  nanoseconds UnresponsiveFor(time_point aNow) const
  {
    return mAll.UnresponsiveFor(aNow);
  }

  /// Time for which commits have been without a response to any of them; 0 if
  /// none is pending.  A commit lost with its connection is not pending, since
  /// it gives no information about the others.
  nanoseconds CommitsPendingFor(time_point aNow) const
  {
    return mCommits.PendingFor(aNow);
  }

private:
  struct pending_requests
  {
    void Start(time_point aNow)
    {
      if (mCount == 0 && !mHasLost) {
        mUnansweredSince = aNow;
      }
      ++mCount;
    }
    void End(time_point aNow)
    {
      --mCount;
      mUnansweredSince = aNow;
      mHasLost = false;
    }
    void MarkLost()
    {
      --mCount;
      mHasLost = true;
    }
    nanoseconds UnresponsiveFor(time_point aNow) const
    {
      return mCount > 0 || mHasLost ? nanoseconds(aNow - mUnansweredSince)
                                    : nanoseconds(0);
    }

    nanoseconds PendingFor(time_point aNow) const
    {
      return mCount > 0 ? nanoseconds(aNow - mUnansweredSince) : nanoseconds(0);
    }

    std::uint32_t mCount = 0;
    /// A request was lost and no response has arrived since.
    bool mHasLost = false;
    /// Time of the last response, or the later time at which the first request
    /// without a response was sent.
    time_point mUnansweredSince;
  };

  pending_requests mAll;
  pending_requests mCommits;
};

} // namespace catkinloom
