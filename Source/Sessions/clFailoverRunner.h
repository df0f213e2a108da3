#pragma once

#include "clFailoverAttempt.h"
#include "clSessionContext.h"

#include <map>
#include <optional>
#include <string>

namespace catkinloom {

/// Watches the leaders and begins an attempt to replace a lost one.
class failover_runner
{
public:
  explicit failover_runner(session_context& aContext)
    : mContext(aContext)
  {
  }

  /// Watches until the process ends; runs in a fiber.
  void Run();

private:
  struct group_watch
  {
    bool mIsAttemptRunning = false;
    time_point mChecksSuspendedUntil;
    /// The newest record seen, and since when.
    store_revision mSeenRecordRevision = 0;
    time_point mRecordSeenSince;
  };

  void CheckGroup(upstream_group& aGroup, time_point aNow);
  /// Every living instance of the group is in the directory: none lapsed with
  /// the store, or those that did have had time to come back.
  bool IsDirectoryComplete(const upstream_group& aGroup, time_point aNow) const;
  std::optional<failover_reason> ReasonFor(upstream_group& aGroup,
                                           group_watch& aWatch,
                                           time_point aNow) const;
  void StartAttempt(upstream_group& aGroup, failover_reason aReason);
  bool ConfirmReason(upstream_group& aGroup, failover_reason aReason);
  /// True when the leader's commits reach no replica and another instance
  /// could take over: all of them answer, and one holds what was inherited.
  /// With one out of reach the leader itself would be chosen again.
  bool HasSuccessorForStuckLeader(upstream_group& aGroup);

  session_context& mContext;
  std::map<std::string, group_watch> mWatches;
  time_point mLastCheckAt;
};

} // namespace catkinloom
