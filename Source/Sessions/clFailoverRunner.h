#pragma once

#include "clFailoverPlan.h"
#include "clSessionContext.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace catkinloom {

/// Why a group's leader is to be replaced.
enum class failover_reason
{
  /// It answers nothing.
  Silent,
  /// Its commits reach no replica.
  CommitsStuck,
  /// It is leaving.
  Leaving,
  /// The directory no longer names it.
  Missing,
  /// Another proxy began to replace it and did not end.
  Unfinished,
};

/// Watches the leaders and replaces the lost ones.
///
/// One attempt: claim the group's record in the store, stop enough instances
/// that no commit can be acknowledged any more, choose the longest log, wait
/// until every proxy's evidence of the old leader has lapsed, order the
/// promotion under a token of its own, and settle the record.
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
  /// One attempt on its way.
  struct attempt
  {
    upstream_group& mGroup;
    failover_reason mReason;
    std::string mPrimary;
    failover_record mRecord;
    /// Every promotion ordered so far is in mRecord.mPossibleLeaders.
    std::vector<failover_member> mMembers;
    /// Rounds of orders so far.
    std::uint32_t mRounds = 0;
    time_point mStoppedAt;
    /// When the last proxy's permit was ended; empty until then.
    std::optional<time_point> mPermitsEndedAt;
    time_point mGiveUpAt;
  };

  struct group_watch
  {
    bool mRunning = false;
    time_point mQuietUntil;
    /// The newest record seen, and since when.
    store_revision mSeenRevision = 0;
    time_point mSeenSince;
  };

  void Look(upstream_group& aGroup, time_point aNow);
  /// Every living instance is in the directory: entries that lapsed with the
  /// store have had time to come back.
  bool IsDirectoryWhole(time_point aNow) const;
  std::optional<failover_reason> ReasonFor(upstream_group& aGroup,
                                           group_watch& aWatch,
                                           time_point aNow) const;
  void Start(upstream_group& aGroup, failover_reason aReason);
  bool Confirm(upstream_group& aGroup, failover_reason aReason);
  /// True when the leader lives and a replica has all that it has.
  bool IsReplicating(upstream_group& aGroup);
  bool Attempt(upstream_group& aGroup,
               failover_reason aReason,
               const failover_record& aRecord);
  bool WriteRecord(attempt& aAttempt);
  bool StopCommits(attempt& aAttempt);
  /// Every commit that another leader than the next one could acknowledge is
  /// stopped.
  bool IsStopped(const attempt& aAttempt) const;
  std::optional<std::string> ChooseFor(const attempt& aAttempt) const;
  bool EndPermits(attempt& aAttempt);
  void StopOnce(attempt& aAttempt);
  void StepPrimaryDown(attempt& aAttempt);
  /// An instance is in the directory that was not stopped.
  bool HasNewMember(attempt& aAttempt);
  void LevelWith(attempt& aAttempt);
  bool OrderPromotion(attempt& aAttempt, const std::string& aChosen);
  bool Settle(attempt& aAttempt, const std::string& aLeader);
  void AwaitEffect(attempt& aAttempt, const std::string& aLeader);
  void ResumeOthers(attempt& aAttempt, const std::string& aLeader);
  /// A term above every one that the group's instances are known to know.
  term_number NextTerm(const upstream_group& aGroup) const;

  session_context& mContext;
  std::map<std::string, group_watch> mWatches;
  time_point mLookedAt;
};

/// Stable name of a reason for logs.
std::string_view
FailoverReasonName(failover_reason aReason);

} // namespace catkinloom
