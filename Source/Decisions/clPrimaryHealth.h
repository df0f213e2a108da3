#pragma once

#include "clClock.h"

#include <cstdint>

namespace catkinloom {

/// Follows whether one instance answers what this proxy sends it.
///
/// Any answer shows that the instance lives; a commit's answer shows that it
/// still reaches a replica.
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

  /// A request ended without an answer.
  void RecordLost(bool aIsCommit)
  {
    mAll.MarkLost();
    if (aIsCommit) {
      mCommits.MarkLost();
    }
  }

  /// Time since the instance last answered while something waits for it.
  nanoseconds UnresponsiveFor(time_point aNow) const
  {
    return mAll.UnresponsiveFor(aNow);
  }

  /// Time since a commit was last answered while commits wait.  A commit whose
  /// connection broke says nothing about the others.
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
    /// A request was lost and nothing has been answered since.
    bool mHasLost = false;
    time_point mUnansweredSince;
  };

  pending_requests mAll;
  pending_requests mCommits;
};

} // namespace catkinloom
