#pragma once

#include "clInstanceEntry.h"
#include "clLogPosition.h"
#include "clRecordVersion.h"

#include <optional>
#include <string>
#include <vector>

namespace catkinloom {

/// The coordination store's record of a group's members, for proxies that
/// start later.  An instance may confirm a commit that no other replica has, so
/// its loss must be known to every proxy that chooses a leader.
struct membership_record
{
  /// The store's version of this record; revision 0 when there is none.
  record_version mVersion{};
  /// Instances that may have the only replica copy of a commit beyond mFloor,
  /// in the order of their ids.  An instance that restarted without its log may
  /// be listed with several incarnations.
  std::vector<instance_entry> mMembers;
  /// Lowest log position that covers every commit of which a former member may
  /// have had the only replica copy.
  log_position mFloor;

  bool operator==(const membership_record&) const = default;
};

/// True if both entries belong to one process of one instance.
bool
IsSameIncarnation(const instance_entry& aLeft, const instance_entry& aRight);

/// True if aMembers contains the incarnation of aEntry.
bool
ContainsIncarnation(const std::vector<instance_entry>& aMembers,
                    const instance_entry& aEntry);

/// Ids of aEntries, for log lines.
std::vector<std::string>
IdsOf(const std::vector<instance_entry>& aEntries);

/// A group as one proxy knows it.
struct group_observation
{
  /// Instances that the directory lists.
  std::vector<instance_entry> mListed;
  /// Instances whose entry is missing and that do not count as lost yet.
  std::vector<instance_entry> mMissing;
  /// Current leader; empty if it is unknown.
  std::string mLeader;
  /// Lowest log position that covers every commit that a lost instance may have
  /// had the only replica copy of.
  log_position mLossFloor;
  /// An instance was lost, and no such position is known yet.
  bool mHasUnknownLoss = false;
};

/// The record that replaces aRecord; empty if aRecord is up to date.
///
/// A member is dropped once a position is known that covers its commits; the
/// leader is kept, since the record of the failover covers its loss.
std::optional<membership_record>
NextMembership(const membership_record& aRecord,
               const group_observation& aObservation);

} // namespace catkinloom
