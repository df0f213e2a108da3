#include "clFailoverPlan.h"

#include <algorithm>
#include <tuple>

namespace catkinloom {

namespace {

bool
IsStopped(const std::vector<failover_member>& aMembers, const std::string& aId)
{
  return std::any_of(
    aMembers.begin(), aMembers.end(), [&aId](const failover_member& aMember) {
      return aMember.mId == aId && aMember.mStopped;
    });
}

/// Number of instances other than aLeader that may still receive its commits.
std::size_t
CountActiveReceivers(const std::vector<failover_member>& aMembers,
                     const std::string& aLeader)
{
  return static_cast<std::size_t>(std::count_if(
    aMembers.begin(), aMembers.end(), [&](const failover_member& aMember) {
      return aMember.mId != aLeader && !aMember.mStopped;
    }));
}

/// The same for an instance that may lead a newer term than the members know.
std::size_t
CountReceiversOfNewLeader(const std::vector<failover_member>& aMembers,
                          const std::string& aLeader)
{
  return static_cast<std::size_t>(std::count_if(
    aMembers.begin(), aMembers.end(), [&](const failover_member& aMember) {
      const bool isPaused = aMember.mStopped && aMember.mPausedTerm != 0;
      return aMember.mId != aLeader && !isPaused;
    }));
}

} // namespace

term_number
NewestTerm(const std::vector<failover_member>& aMembers)
{
  term_number newest = 0;
  for (const failover_member& member : aMembers) {
    newest = std::max({ newest, member.mTerm, member.mPosition.mTerm });
  }
  return newest;
}

void
EvaluatePauses(std::vector<failover_member>& aMembers)
{
  const term_number newest = NewestTerm(aMembers);
  for (failover_member& member : aMembers) {
    if (member.mPausedTerm != 0) {
      member.mStopped = member.mPausedTerm > newest;
    }
  }
}

bool
IsEveryCommitStopped(const std::vector<failover_member>& aMembers,
                     const std::string& aPrimary,
                     const std::vector<std::string>& aPossibleLeaders,
                     std::uint32_t aSyncReplicas)
{
  const auto hasNoPendingPromotion =
    std::find(aPossibleLeaders.begin(), aPossibleLeaders.end(), aPrimary) ==
    aPossibleLeaders.end();
  const bool primaryStopped =
    hasNoPendingPromotion && IsStopped(aMembers, aPrimary);
  if (!primaryStopped &&
      CountActiveReceivers(aMembers, aPrimary) >= aSyncReplicas) {
    return false;
  }
  return std::all_of(aPossibleLeaders.begin(),
                     aPossibleLeaders.end(),
                     [&](const std::string& aLeader) {
                       return CountReceiversOfNewLeader(aMembers, aLeader) <
                              aSyncReplicas;
                     });
}

std::vector<std::string>
FindUnseenLeaders(const std::vector<failover_member>& aMembers,
                  const std::string& aPrimary)
{
  std::vector<std::string> unseen;
  for (const failover_member& member : aMembers) {
    if (member.mId != aPrimary && !member.mStopped) {
      unseen.push_back(member.mId);
    }
  }
  return unseen;
}

std::optional<std::string>
FindSoleCommandedInstance(const std::vector<std::string>& aPossibleLeaders)
{
  if (aPossibleLeaders.size() != 1) {
    return std::nullopt;
  }
  return aPossibleLeaders.front();
}

bool
ReplicasHoldEveryCommit(const std::vector<failover_member>& aMembers,
                        const std::string& aPrimary,
                        std::uint32_t aSyncReplicas,
                        bool aHasLostMember)
{
  const bool hasOthers = std::any_of(
    aMembers.begin(), aMembers.end(), [&](const failover_member& aMember) {
      return aMember.mId != aPrimary;
    });
  return aSyncReplicas > 0 && !aHasLostMember && hasOthers &&
         CountActiveReceivers(aMembers, aPrimary) == 0;
}

std::optional<log_position>
FindConfirmedFloor(const std::vector<failover_member>& aMembers,
                   const std::string& aPrimary,
                   const inherited_commits& aInherited,
                   std::uint32_t aSyncReplicas,
                   bool aHasLostMember)
{
  if (aSyncReplicas == 0 || aHasLostMember || aInherited.mOnlyPrimaryHasAll) {
    return std::nullopt;
  }
  std::optional<log_position> newest;
  for (const failover_member& member : aMembers) {
    if (member.mId == aPrimary) {
      continue;
    }
    if (!member.mHasLog || (!member.mStopped && !member.mReportedAfterStop)) {
      return std::nullopt;
    }
    newest = std::max(newest.value_or(aInherited.mFloor), member.mPosition);
  }
  return newest;
}

std::optional<std::string>
ChooseNextLeader(const std::vector<failover_member>& aMembers,
                 const std::string& aPrimary,
                 const inherited_commits& aInherited,
                 const std::vector<std::string>& aPossibleLeaders)
{
  const bool mayHaveLedUnseen =
    std::any_of(aPossibleLeaders.begin(),
                aPossibleLeaders.end(),
                [&](const std::string& aLeader) {
                  return aLeader != aPrimary && !IsStopped(aMembers, aLeader);
                });
  if (aInherited.mOnlyPrimaryHasAll && mayHaveLedUnseen) {
    return std::nullopt;
  }
  // A primary that lost its log does not show which commits exist.
  const auto primary = std::find_if(
    aMembers.begin(), aMembers.end(), [&](const failover_member& aMember) {
      return aMember.mId == aPrimary && aMember.mStopped && aMember.mHasLog &&
             aMember.mPosition >= aInherited.mFloor;
    });
  const auto holdsEveryCommit = [&](const failover_member& aMember) {
    const bool reachesPrimary =
      primary != aMembers.end() && aMember.mPosition >= primary->mPosition;
    const bool mayLack = aInherited.mOnlyPrimaryHasAll && !reachesPrimary;
    return aMember.mStopped && !mayLack &&
           aMember.mPosition >= aInherited.mFloor;
  };
  const failover_member* best = nullptr;
  const auto rank = [&aPrimary](const failover_member& aMember) {
    return std::make_tuple(
      aMember.mPosition, !aMember.mDraining, aMember.mId != aPrimary);
  };
  for (const failover_member& member : aMembers) {
    if (holdsEveryCommit(member) &&
        (best == nullptr || rank(*best) < rank(member))) {
      best = &member;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return best->mId;
}

eligibility
EvaluateEligibility(const failover_member& aChosen,
                    const eligibility_response& aResponse)
{
  if (!aResponse.mIsAnswered) {
    return eligibility::Unknown;
  }
  const bool isUnchanged = aResponse.mReceived >= aChosen.mPosition &&
                           aResponse.mPausedTerm >= aChosen.mPausedTerm;
  return aResponse.mIsBusy || isUnchanged ? eligibility::Confirmed
                                          : eligibility::Changed;
}

} // namespace catkinloom
