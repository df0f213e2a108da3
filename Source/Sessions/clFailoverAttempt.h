#pragma once

#include "clFailoverPlan.h"
#include "clSessionContext.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloom {

/// Why a group's leader is replaced.
enum class failover_reason
{
  /// The leader does not respond.
  Unresponsive,
  /// The leader's commits reach no replica.
  CommitsStuck,
  /// The leader is draining.
  Leaving,
  /// The directory no longer lists the leader.
  Missing,
  /// Another proxy started to replace the leader and did not finish.
  Unfinished,
  /// The leader does not lead: its promotion had no effect, or it lost the lead
  /// by a restart.
  NotLeading,
};

/// Stable name of a reason for log lines.
std::string_view
FailoverReasonName(failover_reason aReason);

/// All instances of a group except aId.
std::vector<std::shared_ptr<upstream_instance>>
InstancesExcept(const upstream_group& aGroup, const std::string& aId);

/// Returns the status command for every instance; a callback for
/// upstream_group::SendToEach.
instance_command
StatusCommand(const upstream_instance& aInstance);

/// One attempt to replace a group's leader.
///
/// Steps: claim the group's record in the store by compare-and-set; stop enough
/// instances that no further commit can be acknowledged; choose the instance
/// with the longest log; revoke all leadership leases and wait until every
/// proxy's evidence of the old leader has expired; send the promotion command
/// with a new fencing token; complete the record.
class failover_attempt
{
public:
  /// aRecord is the record to replace; the promotion command that it names may
  /// be executed until aPendingUntil, empty if it names none.
  failover_attempt(session_context& aContext,
                   upstream_group& aGroup,
                   failover_reason aReason,
                   const failover_record& aRecord,
                   std::optional<time_point> aPendingUntil);

  /// Runs in a fiber.  True if a leader was promoted and recorded.
  bool Run();

  /// True if it released the record: this proxy does not reach the management
  /// API, or the API accepts no commands.
  bool HasYielded() const { return mHasYielded; }

  /// The newest command that it issued and that is not executed, although the
  /// record may name it; see pending_command::OnWithdrawn.
  const std::optional<command_id>& WithdrawnCommand() const
  {
    return mWithdrawnCommand;
  }

private:
  /// True while the platform, which does not check fencing tokens, may still
  /// execute an earlier command: no other one may be sent.
  bool MustAwaitEarlierCommand();
  /// The instance of the newest command, if it leads: the command was executed,
  /// and no other one can be.
  std::optional<std::string> FindCommandedLeader();
  /// Completes the record and waits until the new leader leads.
  bool Complete(const std::string& aLeader);
  /// True before the deadline and while no other proxy has claimed the record.
  bool MayContinue() const;
  /// Writes the record by compare-and-set; false if another proxy has changed
  /// it or the store call failed.
  bool WriteRecord();
  void LogRecordNotWritten(std::string_view aCause) const;
  /// Stops commits, revokes all leadership leases and chooses the next leader.
  /// Empty if no instance can lead yet without losing commits.
  std::optional<std::string> PrepareNextLeader();
  void LogNoCandidate();
  bool StopCommits();
  void SendStopCommands();
  /// True if aMember is the former leader, does not lead, and may receive the
  /// commits of an instance that may lead.
  bool MustPauseFormerLeader(const failover_member& aMember) const;
  /// Command that stops an instance.
  instance_command StopCommandFor(const upstream_instance& aInstance) const;
  void RecordStopResponse(upstream_instance& aInstance,
                          instance_command aCommand,
                          term_number aTerm,
                          const result<instance_status>& aAnswer);
  /// True if aInstance is the leader to replace: it leads the newest term and
  /// has the leader's log, and the leader either serves its address, so that it
  /// is back under another name, or is not known to have led.
  bool IsActualPrimary(const upstream_instance& aInstance,
                       const instance_status& aStatus) const;
  /// Newest position that is known of the leader's log: of its own reports, of
  /// the members, and of acknowledged commits.
  log_position NewestKnownPosition() const;
  /// Makes the instance that follows the named leader at its address the leader
  /// to replace, if it has everything that is known of the leader's log.  It
  /// need not lead: an earlier attempt may have stepped it down.
  void AdoptReturnedPrimary();
  /// True if the leader to replace is the named one under another id, so that
  /// the named one has ended.
  bool HasNamedLeaderReturned() const;
  /// From now on aId is the leader to replace.
  void ReplacePrimary(const std::string& aId);
  void StepPrimaryDown();
  bool RevokeLeases();
  void AwaitEvidenceExpiry();
  /// True if commits are still stopped, given the instances that the directory
  /// lists now.
  bool AreCommitsStillStopped();
  /// Queries the paused replicas and clears those that no longer are: a delayed
  /// command of an earlier record holder may have resumed one.
  void RecheckPausedReplicas();
  /// True if the chosen instance has not restarted or lost its log since it was
  /// stopped.
  bool IsStillEligible(const std::string& aChosen);
  /// Queries the chosen instance until it responds, for at most
  /// mBusyInstanceTimeout.
  eligibility AwaitEligibility(upstream_instance& aChosen);
  /// Waits up to mMaxCatchUpWait until a replica has the whole log of the
  /// leader that stepped down, and records what the replicas have.
  void AwaitCaughtUpReplica();
  /// Instances that may lead beside mPrimary: those whose promotion was
  /// commanded without a response, and those that may lead unseen.
  std::vector<std::string> PossibleLeaders() const;
  /// True if no instance other than the next leader can acknowledge a commit.
  bool AreCommitsStopped() const;
  /// The instance to promote; empty if none qualifies yet.
  std::optional<std::string> ChooseCandidate() const;
  /// Acknowledged commits from before the attempt that the next leader must
  /// have.  Possibly no member has them.
  inherited_commits InheritedCommits() const;
  /// True if each lost member is back under another id and has stopped: the
  /// instance that follows at its address has its log.
  bool HaveLostMembersReturned() const;
  /// True if an instance other than the primary may have left with the only
  /// copy of a commit besides the primary's.
  bool MayHaveLostMember() const;
  /// True if the named leader left, or answered without the log that it had
  /// when it was chosen.
  bool HasNamedLeaderLostLog() const;
  /// True if the leader's commits are stuck and the replicas together have
  /// every acknowledged commit, so that one of them can be chosen.
  bool CanExcludePrimary() const;
  /// Writes the record with the chosen instance, which yields a new fencing
  /// token, and sends the promotion command.  True if it was accepted.
  bool SendPromotion(const std::string& aChosen);
  /// Releases the record, which then names no command and no holder.
  void YieldRecord();
  bool IsUnanswered(const std::string& aInstance) const;
  /// Writes the record as complete, with retries.  Also true if another proxy
  /// has written a newer record with the same leader.
  bool CompleteRecord(const std::string& aLeader);
  /// Waits until the new leader reports itself as primary, and resumes the
  /// paused replicas then.
  void AwaitPromotion(const std::string& aLeader);
  void ResumePausedReplicas(const std::string& aLeader);
  /// One above the highest term that any instance of the group has reported.
  term_number NextTerm() const;
  failover_member& MemberOf(const std::string& aId);
  time_point Now() const { return mContext.Now(); }

  session_context& mContext;
  upstream_group& mGroup;
  failover_reason mReason;
  /// The leader to replace.
  std::string mPrimary;
  /// Leader when the attempt began.
  std::string mNamedLeader;
  /// The named leader does not report itself as primary: it may never have led,
  /// so that another instance may lead.
  bool mMayAnotherLead = false;
  /// This proxy never saw the named leader lead.  Every acknowledged commit is
  /// then from before its promotion, and the record's floor covers it.
  bool mNeverSeenLeading = false;
  failover_record mRecord;
  /// Lowest log position for a new leader, from the record that the attempt
  /// replaces.
  log_position mRecordFloor;
  /// The same if the leader lost its log.
  log_position mConfirmedFloor;
  std::vector<failover_member> mMembers;
  /// Instances whose promotion command got no response.
  std::vector<std::string> mUnansweredPromotions;
  /// Time until which they may be executed by a platform that does not check
  /// tokens.
  time_point mPendingUntil;
  bool mHasLoggedWait = false;
  /// Rounds of stop commands sent so far.
  std::uint32_t mStopRounds = 0;
  time_point mCommitsStoppedAt;
  /// When all leadership leases had been revoked; empty until then.
  std::optional<time_point> mLeasesRevokedAt;
  time_point mDeadline;
  bool mHasLoggedNoCandidate = false;
  bool mHasYielded = false;
  std::optional<command_id> mWithdrawnCommand;
};

} // namespace catkinloom
