#pragma once

#include "clClock.h"

#include <cstdint>

namespace catkinloom {

/// How many statements one proxy keeps in flight at one instance.
///
/// Answers the load of a recovery: every proxy has a backlog, an instance's
/// queue fills, and statements run into their time limits there.  Proxies do
/// not know each other's load, so each estimates from its answer times how many
/// of its own statements queue at the instance, as TCP Vegas does, and keeps
/// that number small; the rest waits in the proxy, where deadlines and
/// priorities are known.  A refusal lowers the limit by a factor.
class concurrency_limit
{
public:
  /// True when one more statement may be sent beside aInFlight others.
  bool HasCapacity(std::uint32_t aInFlight) const
  {
    return aInFlight < Limit();
  }

  std::uint32_t Limit() const { return static_cast<std::uint32_t>(mLimit); }

  /// The instance served a statement in aResponseTime while aInFlight, this one
  /// included, were in flight.
  void OnServed(std::uint32_t aInFlight, nanoseconds aResponseTime);

  /// The instance refused work because it has too much.
  void OnRefused(time_point aNow);

private:
  void RecordResponseTime(nanoseconds aResponseTime);
  /// Own statements that wait for a slot at the instance.
  double EstimateQueued() const;

  double mLimit = 2;
  time_point mDecreasedAt;
  /// Smoothed time of an answer, and the same when the instance is not loaded.
  nanoseconds mResponseTime{ 0 };
  nanoseconds mUnloadedResponseTime{ 0 };
};

} // namespace catkinloom
