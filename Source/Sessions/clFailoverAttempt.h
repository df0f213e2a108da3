#pragma once

#include "clFailoverPlan.h"
#include "clSessionContext.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloom {

/// Why a group's leader is to be replaced.
enum class failover_reason
{
  /// It answers nothing.
  Unresponsive,
  /// Its commits reach no replica.
  CommitsStuck,
  /// It is leaving.
  Leaving,
  /// The directory no longer names it.
  Missing,
  /// Another proxy began to replace it and did not end.
  Unfinished,
};

/// Stable name of a reason for logs.
std::string_view
FailoverReasonName(failover_reason aReason);

/// Instances of a group but one.
std::vector<std::shared_ptr<upstream_instance>>
InstancesExcept(const upstream_group& aGroup, const std::string& aId);

/// Asks an instance about itself; for upstream_group::SendToEach.
instance_command
StatusCommand(const upstream_instance& aInstance);

/// One attempt to replace a group's leader: claim the group's record in the
/// store, stop enough instances that no commit can be acknowledged any more,
/// choose the longest log, wait until every proxy's evidence of the old leader
/// has lapsed, order the promotion under a token of its own, and settle the
/// record.
class failover_attempt
{
public:
  /// aRecord is what the attempt replaces; it was first seen at aRecordSince.
  failover_attempt(session_context& aContext,
                   upstream_group& aGroup,
                   failover_reason aReason,
                   const failover_record& aRecord,
                   time_point aRecordSince);

  /// True when a leader was promoted and is on record; runs in a fiber.
  bool Run();

private:
  /// There is time left, and no other proxy has taken the record over.
  bool MayContinue() const;
  bool WriteRecord();
  /// Stops commits and chooses; empty when no instance may lead safely yet.
  std::optional<std::string> PrepareNextLeader();
  void LogNoCandidate();
  bool StopCommits();
  void SendStopCommands();
  void RecordStopResponse(upstream_instance& aInstance,
                          instance_command aCommand,
                          term_number aTerm,
                          const result<instance_status>& aAnswer);
  void StepPrimaryDown();
  bool RevokeLeases();
  void AwaitEvidenceExpiry();
  /// Commits are still stopped with the instances that the directory has now.
  bool AreCommitsStillStopped();
  /// Asks the held instances whether they still are: an order of an earlier
  /// holder may have let one go.
  void RecheckPausedReplicas();
  /// The chosen instance still lives the life in which it was stopped, with
  /// its log.
  bool IsStillEligible(const std::string& aChosen);
  void AwaitCaughtUpReplica();
  /// Every commit that another leader than the next one could acknowledge is
  /// stopped.
  bool AreCommitsStopped() const;
  std::optional<std::string> ChooseCandidate() const;
  /// What an instance must hold beyond what the members themselves show.
  inherited_commits InheritedCommits() const;
  bool CanExcludePrimary() const;
  /// An unanswered order for another instance may still be carried out, and
  /// the platform would not refuse it.
  bool HasPendingPromotionOfOther(const std::string& aChosen) const;
  bool SendPromotion(const std::string& aChosen);
  bool CompleteRecord(const std::string& aLeader);
  void AwaitPromotion(const std::string& aLeader);
  void ResumePausedReplicas(const std::string& aLeader);
  /// A term above every one that the group's instances are known to know.
  term_number NextTerm() const;
  failover_member& MemberOf(const std::string& aId);
  time_point Now() const { return mContext.Now(); }

  session_context& mContext;
  upstream_group& mGroup;
  failover_reason mReason;
  std::string mPrimary;
  failover_record mRecord;
  /// Floor of the record that the attempt replaces.
  log_position mRecordFloor;
  std::vector<failover_member> mMembers;
  /// Instances whose promotion was ordered and got no answer.
  std::vector<std::string> mUnansweredPromotions;
  /// When the last of those orders may have been sent.
  time_point mLastUnansweredAt;
  /// Rounds of orders so far.
  std::uint32_t mStopRounds = 0;
  time_point mCommitsStoppedAt;
  /// When the last proxy's permit was ended; empty until then.
  std::optional<time_point> mLeasesRevokedAt;
  time_point mDeadline;
  bool mHasLoggedNoCandidate = false;
};

} // namespace catkinloom
