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
  void NoteSent(time_point aNow, bool aIsCommit)
  {
    mAll.Start(aNow);
    if (aIsCommit) {
      mCommits.Start(aNow);
    }
  }

  void NoteAnswered(time_point aNow, bool aIsCommit)
  {
    mAll.End(aNow);
    if (aIsCommit) {
      mCommits.End(aNow);
    }
  }

  /// A request ended without an answer.
  void NoteLost(bool aIsCommit)
  {
    mAll.Lose();
    if (aIsCommit) {
      mCommits.Lose();
    }
  }

  /// Time since the instance last answered while something waits for it.
  nanoseconds SilentFor(time_point aNow) const { return mAll.SilentFor(aNow); }

  /// Time since a commit was last answered while commits wait.  A commit whose
  /// connection broke says nothing about the others.
  nanoseconds CommitsSilentFor(time_point aNow) const
  {
    return mCommits.WaitingFor(aNow);
  }

private:
  struct pending_requests
  {
    void Start(time_point aNow)
    {
      if (mCount == 0 && !mLost) {
        mSince = aNow;
      }
      ++mCount;
    }
    void End(time_point aNow)
    {
      --mCount;
      mSince = aNow;
      mLost = false;
    }
    void Lose()
    {
      --mCount;
      mLost = true;
    }
    nanoseconds SilentFor(time_point aNow) const
    {
      return mCount > 0 || mLost ? nanoseconds(aNow - mSince) : nanoseconds(0);
    }

    nanoseconds WaitingFor(time_point aNow) const
    {
      return mCount > 0 ? nanoseconds(aNow - mSince) : nanoseconds(0);
    }

    std::uint32_t mCount = 0;
    /// A request was lost and nothing has been answered since.
    bool mLost = false;
    time_point mSince;
  };

  pending_requests mAll;
  pending_requests mCommits;
};

} // namespace catkinloom
