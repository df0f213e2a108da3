#pragma once

#include "clClock.h"

#include <cstdint>

namespace catkinloom {

/// Limits the statements that one proxy keeps in flight at one instance.
///
/// During a recovery every proxy has a backlog; without a limit the instance's
/// queue fills and statements time out in it.  Proxies do not know each other's
/// load, so each estimates from response times how many of its own statements
/// are queued at the instance, as TCP Vegas does, and keeps that number small;
/// the rest waits in the proxy, where deadlines and priorities are known.  A
/// refusal decreases the limit by a factor.
class concurrency_limit
{
public:
  /// True when another statement may be sent while aInFlight are in flight.
  bool HasCapacity(std::uint32_t aInFlight) const
  {
    return aInFlight < Limit();
  }

  std::uint32_t Limit() const { return static_cast<std::uint32_t>(mLimit); }

  /// The instance completed a statement within aResponseTime; aInFlight,
  /// including this one, were in flight.
  void OnServed(std::uint32_t aInFlight, nanoseconds aResponseTime);

  /// The instance refused a statement because it is overloaded.
  void OnRefused(time_point aNow);

private:
  void RecordResponseTime(nanoseconds aResponseTime);
  /// Estimated number of this proxy's statements in the instance's queue.
  double EstimateQueued() const;

  double mLimit = 2;
  time_point mDecreasedAt;
  /// Smoothed response time, and its estimate for the unloaded instance.
  nanoseconds mResponseTime{ 0 };
  nanoseconds mUnloadedResponseTime{ 0 };
};

} // namespace catkinloom
