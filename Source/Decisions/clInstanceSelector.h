#pragma once

#include "clClock.h"
#include "clLogPosition.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace catkinloom {

/// State of one instance when it may be selected for a statement.
struct instance_candidate
{
  bool mLeads = false;
  /// It leads and its promotion is known to have taken effect.
  bool mLeaderReady = false;
  bool mSameZone = false;
  bool mDraining = false;
  /// Until then it is not selected, because it did not respond.
  time_point mAvoidedUntil;
  /// Until then it counts as lagging while mPosition is below the required
  /// position.
  time_point mLaggingUntil;
  /// End of its log as last reported.
  log_position mPosition;
  /// Statements of this proxy in flight at it.
  std::uint32_t mInFlight = 0;
  std::uint32_t mSlots = 1;
  /// An idle connection to it exists.
  bool mHasIdle = false;
  /// Another connection to it may be opened.
  bool mCanOpen = false;
  /// Its concurrency limit allows another statement.
  bool mHasCapacity = true;
  /// Smoothed response time.
  nanoseconds mResponseTime{ 0 };
};

/// Requirements of a statement on its instance.
struct instance_requirements
{
  /// Only the leader may execute it.
  bool mLeaderOnly = false;
  /// Position that the log must have reached; ignored if mLeaderOnly.
  log_position mFloor;
  /// Bit mask of the instances that already refused this statement.
  std::uint32_t mExcluded = 0;
};

/// Result of a selection.
enum class selection_result
{
  /// mInstance was selected.
  Chosen,
  /// Some instance is usable, but none has both a connection and capacity.
  AllBusy,
  /// No instance is usable.
  NoneUsable,
};

struct instance_selection
{
  selection_result mResult = selection_result::NoneUsable;
  std::size_t mInstance = 0;
};

/// Selects the usable instance with the lowest expected time for a statement.
/// The expected time grows with the statements in flight.  Penalties are added
/// for another availability zone, for a connection that must be opened first,
/// and for the leader if a replica may execute the statement.
instance_selection
SelectInstance(const std::vector<instance_candidate>& aCandidates,
               const instance_requirements& aRequirements,
               time_point aNow);

} // namespace catkinloom
