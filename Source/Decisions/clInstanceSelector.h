#pragma once

#include "clClock.h"
#include "clLogPosition.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace catkinloom {

/// What is known of one instance when a statement must be placed.
struct instance_candidate
{
  bool mLeads = false;
  /// It leads and is known to have taken the lead already.
  bool mLeaderReady = false;
  bool mSameZone = false;
  bool mDraining = false;
  /// Until then it is not tried, because it did not answer.
  time_point mAvoidedUntil;
  /// Until then it is believed to lag behind.
  time_point mLaggingUntil;
  /// End of its log as it last said.
  log_position mPosition;
  /// Statements of this proxy in flight there.
  std::uint32_t mInFlight = 0;
  std::uint32_t mSlots = 1;
  /// A connection is free.
  bool mHasIdle = false;
  /// One more connection may be opened.
  bool mCanOpen = false;
  /// One more statement may be sent beside those in flight.
  bool mHasCapacity = true;
  /// Smoothed time of an answer.
  nanoseconds mAnswerTime{ 0 };
};

/// What a statement asks of its instance.
struct placement_requirements
{
  /// Only the leader may serve it.
  bool mLeaderOnly = false;
  /// The log must reach this; meaningless for the leader only.
  log_position mFloor;
  /// Instances that already refused this statement, one bit each.
  std::uint32_t mExcluded = 0;
};

/// Outcome of a placement.
enum class placement_result
{
  /// mInstance takes it.
  Chosen,
  /// Some instance could take it, but none has a connection or room to spare.
  AllBusy,
  /// No instance can take it.
  NoneUsable,
};

struct placement
{
  placement_result mResult = placement_result::NoneUsable;
  std::size_t mInstance = 0;
};

/// Chooses the instance for a statement: the least expected time, where
/// another availability zone, work in flight and a lagging log cost extra.
placement
SelectInstance(const std::vector<instance_candidate>& aCandidates,
               const placement_requirements& aRequirements,
               time_point aNow);

} // namespace catkinloom
