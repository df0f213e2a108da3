#pragma once

#include "clFailoverAttempt.h"
#include "clPendingCommand.h"
#include "clSessionContext.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace catkinloom {

/// Monitors the leaders and starts an attempt to replace a failed one.
class failover_runner
{
public:
  explicit failover_runner(session_context& aContext)
    : mContext(aContext)
  {
  }

  /// Monitors until this proxy drains; runs in a fiber.
  void Run();

private:
  struct group_check_state
  {
    bool mIsAttemptRunning = false;
    time_point mChecksSuspendedUntil;
    /// Newest version of the record, and when it was first seen.
    record_version mSeenRecordVersion{};
    time_point mRecordSeenSince;
    pending_command mPendingCommand;
    bool mIsWritingMembership = false;
    /// When this proxy writes the membership record; empty if it is up to date.
    std::optional<time_point> mMembershipDueAt;
    /// Result of the latest check, as logged.
    std::string_view mResult;
  };

  /// Result of a check whether a group's leader must be replaced.
  struct check_result
  {
    /// Stable name for log lines.
    std::string_view mName;
    /// Empty if the leader stays.
    std::optional<failover_reason> mReason;
  };

  /// True if the desired state in force has the service.
  bool IsDeclared(const std::string& aService) const;
  void CheckGroup(upstream_group& aGroup, time_point aNow);
  void TrackPendingCommand(upstream_group& aGroup, time_point aNow);
  /// Delay below aMax of this proxy's writes of a group's records.  It differs
  /// between the proxies, so that mostly one of them writes.
  milliseconds StaggerOf(const upstream_group& aGroup, milliseconds aMax) const;
  /// Starts to write the membership record if it is not up to date.
  void CheckMembership(upstream_group& aGroup, time_point aNow);
  /// Writes a record if the store has aVersion of it; returns the new version.
  std::optional<record_version> ReplaceRecord(const std::string& aKey,
                                              const std::string& aValue,
                                              record_version aVersion);
  void WriteMembership(upstream_group& aGroup, membership_record aRecord);
  /// True if the directory lists every running instance of the group: no entry
  /// expired during a store outage, or the instances have had time to register
  /// again.
  bool IsDirectoryComplete(const upstream_group& aGroup, time_point aNow) const;
  /// Whether the group's leader must be replaced now, and why or why not.
  check_result Check(upstream_group& aGroup,
                     group_check_state& aCheckState,
                     time_point aNow) const;
  static check_result Replace(failover_reason aReason);
  /// Logs the result if it differs from the one before.
  void LogResult(const upstream_group& aGroup,
                 group_check_state& aCheckState,
                 std::string_view aResult) const;
  /// Counts the declared groups whose leader is not known to lead.
  void UpdateMetrics() const;
  void StartAttempt(upstream_group& aGroup, failover_reason aReason);
  /// True if the record, which a restore of the store made useless as evidence,
  /// may be written again by this proxy now.  The proxies do so at different
  /// times, those that know more of the former record first.
  bool IsRewriteDue(upstream_group& aGroup,
                    const group_check_state& aCheckState,
                    time_point aNow) const;
  /// Writes the record again, with the leader that the group itself proves.
  void RewriteRecord(upstream_group& aGroup);
  /// Checks with direct requests to the instances that the leader is
  /// unresponsive or its commits are stuck; true for any other reason.
  bool ConfirmReason(upstream_group& aGroup, failover_reason aReason);
  /// True if the leader's commits reach no replica and another instance can
  /// take over: all replicas respond, and the log of one reaches the record's
  /// lowest position.  With an unreachable replica the attempt would choose the
  /// same leader again.
  bool HasSuccessorForStuckLeader(upstream_group& aGroup);

  session_context& mContext;
  std::map<std::string, group_check_state> mCheckStates;
  time_point mLastCheckAt;
};

} // namespace catkinloom
