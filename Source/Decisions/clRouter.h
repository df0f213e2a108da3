#pragma once

#include "clGroupTable.h"

#include <string_view>

namespace catkinloom {

/// What a read asks of the instance that serves it.
struct read_requirements
{
  /// The instance's log must reach this position.
  log_position mFloor;
  /// Oldest data that the read accepts; empty means current data only.
  std::optional<milliseconds> mMaxAge;
  /// Instances that already failed this request.
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

/// Why an action was chosen; for logs and `catkinloom explain`.
enum class route_reason
{
  ReplicaFreshEnough,
  NoReplicaFreshEnough,
  CurrentDataAsked,
  WriteToPrimary,
  PrimaryUnknown,
  PrimaryCutOff,
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
  /// The answer counts only after a majority confirms the term again.
  bool mMustConfirm = false;
};

/// Timing limits of routing.
struct router_settings
{
  /// Silence after which a replica is believed that its primary is gone.
  milliseconds mPrimaryContactTimeout{ 300 };
  /// Time for which a majority's word on a term is good.
  milliseconds mTermLease{ 250 };
  /// Added to the cost of an instance in another availability zone.
  milliseconds mZonePenalty{ 2 };
};

/// Chooses instances.  Pure: reads the table, allocates nothing.
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

  /// True when the term may still be trusted without asking again.
  bool HoldsTermLease(const group_row& aGroup,
                      term_number aTerm,
                      time_point aNow) const;

  /// Upper bound of the data's age on an instance; empty when unknown.
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
