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

  /// Time since the last response while requests are pending or were lost; 0
  /// otherwise.
  nanoseconds UnresponsiveFor(time_point aNow) const
  {
    return mAll.UnresponsiveFor(aNow);
  }

  /// Time since the last response to a commit while commits are pending; 0
  /// otherwise.  A commit lost with its connection does not count, since it
  /// gives no information about the others.
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
    time_point mUnansweredSince;
  };

  pending_requests mAll;
  pending_requests mCommits;
};

} // namespace catkinloom
