#include "clMembershipRecord.h"

#include <algorithm>
#include <tuple>

namespace catkinloom {

namespace {

bool
ContainsInstance(const std::vector<instance_entry>& aMembers,
                 const std::string& aId)
{
  return std::any_of(
    aMembers.begin(), aMembers.end(), [&aId](const instance_entry& aMember) {
      return aMember.mId == aId;
    });
}

bool
ContainsAll(const std::vector<instance_entry>& aMembers,
            const std::vector<instance_entry>& aEntries)
{
  return std::all_of(
    aEntries.begin(), aEntries.end(), [&](const instance_entry& aEntry) {
      return ContainsIncarnation(aMembers, aEntry);
    });
}

} // namespace

bool
IsSameIncarnation(const instance_entry& aLeft, const instance_entry& aRight)
{
  return std::tie(aLeft.mId, aLeft.mAddress, aLeft.mStartedAt) ==
         std::tie(aRight.mId, aRight.mAddress, aRight.mStartedAt);
}

bool
ContainsIncarnation(const std::vector<instance_entry>& aMembers,
                    const instance_entry& aEntry)
{
  return std::any_of(
    aMembers.begin(), aMembers.end(), [&aEntry](const instance_entry& aMember) {
      return IsSameIncarnation(aMember, aEntry);
    });
}

std::vector<std::string>
IdsOf(const std::vector<instance_entry>& aEntries)
{
  std::vector<std::string> ids;
  ids.reserve(aEntries.size());
  for (const instance_entry& entry : aEntries) {
    ids.push_back(entry.mId);
  }
  return ids;
}

std::optional<membership_record>
NextMembership(const membership_record& aRecord,
               const group_observation& aObservation)
{
  const std::vector<instance_entry>& listed = aObservation.mListed;
  const auto mustKeep = [&](const instance_entry& aMember) {
    const bool isUnlistedLeader = aMember.mId == aObservation.mLeader &&
                                  !ContainsInstance(listed, aMember.mId);
    return aObservation.mHasUnknownLoss || isUnlistedLeader ||
           ContainsIncarnation(aObservation.mMissing, aMember);
  };
  membership_record next = aRecord;
  next.mMembers = listed;
  for (const instance_entry& member : aRecord.mMembers) {
    if (!ContainsIncarnation(listed, member) && mustKeep(member)) {
      next.mMembers.push_back(member);
    }
  }
  const bool isAnyDropped = !ContainsAll(next.mMembers, aRecord.mMembers);
  if (!isAnyDropped && ContainsAll(aRecord.mMembers, next.mMembers)) {
    return std::nullopt;
  }
  if (isAnyDropped) {
    next.mFloor = std::max(aRecord.mFloor, aObservation.mLossFloor);
  }
  std::sort(next.mMembers.begin(),
            next.mMembers.end(),
            [](const instance_entry& aLeft, const instance_entry& aRight) {
              return std::tie(aLeft.mId, aLeft.mStartedAt) <
                     std::tie(aRight.mId, aRight.mStartedAt);
            });
  return next;
}

} // namespace catkinloom
