#pragma once

#include "clClock.h"

#include <cstdint>

namespace catkinloom {

/// Counts one proxy's connections to one instance against its share.
///
/// A connection whose outcome is uncertain keeps its seat after it is closed,
/// until the instance itself reports that it has let go: a time-out alone
/// does not prove that the instance stopped working on it.
class connection_slot_counter
{
public:
  /// Connections that this proxy may hold, the control connection included.
  void SetShare(std::uint32_t aShare) { mShare = aShare; }
  std::uint32_t Share() const { return mShare; }

  /// Takes a seat for a new connection; false when the share is used up.
  bool TryAcquire();

  /// A connection ended in order; its seat is free at once.
  void Release() { --mOpen; }

  /// A connection was closed while its request may still run.
  void MarkPendingRelease(time_point aClosedAt);

  /// Takes the instance's own count of this proxy's connections, asked for
  /// at aSentAt.
  void OnReport(std::uint32_t aCounted, time_point aSentAt);

  std::uint32_t Open() const { return mOpen; }
  std::uint32_t PendingRelease() const { return mPendingRelease; }

private:
  std::uint32_t mShare = 0;
  std::uint32_t mOpen = 0;
  std::uint32_t mPendingRelease = 0;
  time_point mLastClosedAt;
};

} // namespace catkinloom
