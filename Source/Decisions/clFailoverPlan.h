#pragma once

#include "clLogPosition.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace catkinloom {

/// State of one instance during an attempt to replace the primary.
struct failover_member
{
  std::string mId;
  /// It accepts no new work, but still confirms commits.
  bool mDraining = false;
  /// It has confirmed that its replication is paused or that it stepped down.
  /// Unless it is paused, it may receive the commits of another leader.
  bool mStopped = false;
  /// Newest term that it knew at its last report.
  term_number mTerm = 0;
  /// Term up to which its replication is paused; 0 when it is not paused.
  term_number mPausedTerm = 0;
  /// End of its log in that report.
  log_position mPosition{};
  /// False if it is known to have restarted without its log.
  bool mHasLog = true;
  /// mPosition was reported after the primary had stepped down, so that it
  /// includes every commit that the instance confirmed.
  bool mReportedAfterStop = false;
  /// Start time of the incarnation that reported; nothing it reported holds for
  /// a later incarnation of the same instance.
  std::int64_t mStartedAt = 0;
};

/// Acknowledged commits from before an attempt, which its members may lack.
struct inherited_commits
{
  /// Lowest log position that a new leader must have reached.
  log_position mFloor{};
  /// A lost instance may have had commits beyond the floor; only the stopped
  /// primary, and instances that reach its log end, certainly have them.
  bool mOnlyPrimaryHasAll = false;
};

/// Newest term that any member knows.  A term without a commit appears in no
/// log position, so the terms that the members report count as well.
term_number
NewestTerm(const std::vector<failover_member>& aMembers);

/// Sets mStopped of each member whose replication is paused.  The promotion of
/// the attempt that requested a pause ends it, so a pause counts only while its
/// term is above every term that any member knows.
void
EvaluatePauses(std::vector<failover_member>& aMembers);

/// True when no further commit can be acknowledged: every instance that may
/// lead has stepped down, or too few instances can confirm its commits.
///
/// aPossibleLeaders are the instances whose promotion was commanded without a
/// response.  Such a command may have taken effect, or may still do so and undo
/// the instance's own stop, so only the pauses of the other instances count
/// against it: one that stepped down receives the commits of the new leader.
bool
IsEveryCommitStopped(const std::vector<failover_member>& aMembers,
                     const std::string& aPrimary,
                     const std::vector<std::string>& aPossibleLeaders,
                     std::uint32_t aSyncReplicas);

/// Instances that may lead although neither the record nor a report says so:
/// all that have not confirmed a stop, except aPrimary.  Needed if aPrimary is
/// not known to have led, since its predecessor may lead on.
std::vector<std::string>
FindUnseenLeaders(const std::vector<failover_member>& aMembers,
                  const std::string& aPrimary);

/// The only instance whose promotion was commanded without a response; empty
/// when there are none or several.  Commanding it again does not require that
/// its commits have stopped: if the earlier command takes effect, the same
/// instance leads.
std::optional<std::string>
FindSoleCommandedInstance(const std::vector<std::string>& aPossibleLeaders);

/// True when the replicas together have every acknowledged commit: each commit
/// was confirmed by at least one of them, and all of them have stopped.
/// aHasLostMember: an instance left the group and may have had the only copy.
bool
ReplicasHoldEveryCommit(const std::vector<failover_member>& aMembers,
                        const std::string& aPrimary,
                        std::uint32_t aSyncReplicas,
                        bool aHasLostMember);

/// Lowest log position that contains every acknowledged commit, since the
/// replicas have reported all that they confirmed.  Entries of the primary
/// beyond it were never acknowledged.  Empty if it is not known.
/// aHasLostMember: see ReplicasHoldEveryCommit.
std::optional<log_position>
FindConfirmedFloor(const std::vector<failover_member>& aMembers,
                   const std::string& aPrimary,
                   const inherited_commits& aInherited,
                   std::uint32_t aSyncReplicas,
                   bool aHasLostMember);

/// Selects the next leader among the stopped instances that have every
/// acknowledged commit: the longest log; among equal logs one that is not
/// draining, and then one other than the current primary.
///
/// A primary may have commits of earlier terms that exist nowhere else, so the
/// longest log among the replicas may still be too short.  One of
/// aPossibleLeaders, see IsEveryCommitStopped, may have led after the primary,
/// which then lacks its commits.  Empty when no stopped instance is known to
/// have every commit.
std::optional<std::string>
ChooseNextLeader(const std::vector<failover_member>& aMembers,
                 const std::string& aPrimary,
                 const inherited_commits& aInherited,
                 const std::vector<std::string>& aPossibleLeaders = {});

/// Whether the chosen instance may still be promoted.
enum class eligibility
{
  Confirmed,
  /// It restarted, lost its log or its pause ended: choose again.
  Changed,
  /// It did not respond in time; it may only be overloaded.
  Unknown,
};

/// Response of the chosen instance to a status query before its promotion.
struct eligibility_response
{
  /// It responded, possibly with a refusal.
  bool mIsAnswered = false;
  /// It refused the query for lack of a slot: it is running.
  bool mIsBusy = false;
  term_number mPausedTerm = 0;
  log_position mReceived{};
};

/// aChosen is the instance as it was when it was chosen.
eligibility
EvaluateEligibility(const failover_member& aChosen,
                    const eligibility_response& aResponse);

} // namespace catkinloom
