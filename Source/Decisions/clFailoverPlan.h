#pragma once

#include "clLogPosition.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace catkinloom {

/// One instance of a group during an attempt to replace the primary.
struct failover_member
{
  std::string mId;
  /// It takes no new work; it still counts for confirmations.
  bool mDraining = false;
  /// It was told to stop receiving, or to stop leading, and has said so.
  bool mStopped = false;
  /// Newest term that it knows, as it last said.
  term_number mTerm = 0;
  /// Term up to which it has stopped receiving; 0 when no hold stopped it.
  term_number mPausedTerm = 0;
  /// End of its log when it said so.
  log_position mPosition{};
  /// Start of the instance's life that answered; another life of the same
  /// instance holds nothing of what this one said.
  std::int64_t mStartedAt = 0;
};

/// What is known of commits that no member of an attempt need hold.
struct inherited_commits
{
  /// Every instance that may lead must reach this position.
  log_position mFloor{};
  /// A lost instance may have held commits beyond the floor; only the stopped
  /// primary, and who reaches its end, certainly has them.
  bool mOnlyPrimaryHasAll = false;
};

/// Newest term that any member knows.  A term without a commit yet stands in no
/// log position, so that the members' own word counts as well.
term_number
NewestTerm(const std::vector<failover_member>& aMembers);

/// Counts a hold as a stop only if its term is above every term that any member
/// knows: the hold of an earlier attempt ended with that attempt's promotion.
void
EvaluatePauses(std::vector<failover_member>& aMembers);

/// True when no commit can be acknowledged any more: every instance that may
/// lead has stopped leading, or too few instances can confirm its commits.
///
/// aPossibleLeaders are the present primary and every instance whose promotion
/// was ordered without an answer; a late order undoes that instance's own stop,
/// so only the stops of the others count against it.
bool
IsEveryCommitStopped(const std::vector<failover_member>& aMembers,
                     const std::string& aPrimary,
                     const std::vector<std::string>& aPossibleLeaders,
                     std::uint32_t aSyncReplicas);

/// Instance whose promotion was ordered without an answer, if it is the only
/// one.  Ordering it again needs no stop of its own commits: whenever the
/// former order takes effect, the same instance leads.
std::optional<std::string>
FindSoleCommandedInstance(const std::vector<std::string>& aPossibleLeaders);

/// True when the members other than the primary hold every acknowledged commit
/// between them: each commit needed one of them, and all of them have stopped.
/// aHasLostMember: an instance left the group lately, perhaps with the only
/// copy.
bool
ReplicasHoldEveryCommit(const std::vector<failover_member>& aMembers,
                        const std::string& aPrimary,
                        std::uint32_t aSyncReplicas,
                        bool aHasLostMember);

/// The stopped instance that holds every acknowledged commit and should lead:
/// the longest log, and among equals one that stays, the present primary last.
///
/// A primary holds commits of earlier terms that need be nowhere else, so that
/// the longest log of the others may still be too short.  Empty when no stopped
/// instance is known to hold everything.
std::optional<std::string>
ChooseNextLeader(const std::vector<failover_member>& aMembers,
                 const std::string& aPrimary,
                 const inherited_commits& aInherited);

} // namespace catkinloom
