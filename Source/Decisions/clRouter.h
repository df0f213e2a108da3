#pragma once

#include "clGroupTable.h"

#include <string_view>

namespace catkinloom {

/// Requirements that a read has of the instance that serves it.
struct read_requirements
{
  /// Lowest log position that the instance's log must have reached.
  log_position mFloor;
  /// Maximum age of the data; empty means that only current data is accepted.
  std::optional<milliseconds> mMaxAge;
  /// Instances on which this request already failed.
  instance_set mExcluded = 0;
};

/// What to do with a request.
enum class route_action
{
  /// Send it to a replica.
  UseReplica,
  /// Send it to the primary.
  UsePrimary,
  /// Wait until more is known about the group.
  Wait,
};

/// Why an action was chosen; shown in logs and by `catkinloom explain`.
enum class route_reason
{
  ReplicaFreshEnough,
  NoReplicaFreshEnough,
  CurrentDataRequired,
  WriteToPrimary,
  PrimaryUnknown,
  /// A majority of the instances reports no contact to the primary.
  PrimaryCutOff,
  /// No majority has reported the primary's term.
  TermUnconfirmed,
};

/// A routing decision.
struct route_decision
{
  route_action mAction = route_action::Wait;
  route_reason mReason = route_reason::PrimaryUnknown;
  instance_number mInstance = 0;
  /// Term of the chosen primary.
  term_number mTerm = 0;
  /// The response may be used only after a majority confirms the term again.
  bool mMustConfirm = false;
};

/// Timing limits of routing.
struct router_settings
{
  /// Time without contact to the primary after which a replica counts as having
  /// lost it.
  milliseconds mPrimaryContactTimeout{ 300 };
  /// Time for which a majority's confirmation of a term is valid.
  milliseconds mTermLease{ 250 };
  /// Added to the cost of an instance in another availability zone.
  milliseconds mZonePenalty{ 2 };
};

/// Selects the instance that serves a request. Has no side effects and does not
/// allocate.
class router
{
public:
  router(router_settings aSettings, std::string aZone)
    : mSettings(aSettings)
    , mZone(std::move(aZone))
  {
  }

  route_decision DecideRead(const group_row& aGroup,
                            const read_requirements& aRequirements,
                            time_point aNow) const;

  route_decision DecideWrite(const group_row& aGroup, time_point aNow) const;

  /// True if a majority confirmed the term recently enough that it can be
  /// trusted without another query.
  bool HoldsTermLease(const group_row& aGroup,
                      term_number aTerm,
                      time_point aNow) const;

  /// Upper bound of the age of data whose log ends at aPosition; empty if
  /// unknown.
  std::optional<nanoseconds> AgeOf(const group_row& aGroup,
                                   log_position aPosition,
                                   time_point aNow) const;

private:
  route_decision DecidePrimary(const group_row& aGroup) const;
  bool IsPrimaryCutOff(const group_row& aGroup, instance_number aPrimary) const;
  nanoseconds CostOf(const instance_row& aRow) const;

  router_settings mSettings;
  std::string mZone;
};

std::string_view
ReasonName(route_reason aReason);

} // namespace catkinloom
