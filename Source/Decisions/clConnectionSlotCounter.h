#pragma once

#include "clClock.h"

#include <cstdint>

namespace catkinloom {

/// Counts one proxy's connections to one instance against its share.
///
/// A connection whose outcome is uncertain keeps its slot after it is closed,
/// until the instance reports that it has ended: a time-out alone does not
/// prove that the instance stopped working on it.
class connection_slot_counter
{
public:
  /// Sets the maximum number of connections of this proxy. The control
  /// connection has no slot, so neither the share nor a reported count includes
  /// it.
  void SetShare(std::uint32_t aShare) { mShare = aShare; }
  std::uint32_t Share() const { return mShare; }

  /// Acquires a slot for a new connection. Returns false if the share is used
  /// up.
  bool TryAcquire();

  /// Releases the slot of a connection that was closed with no request running.
  void Release() { --mOpen; }

  /// Marks the slot of a connection that was closed at aClosedAt while its
  /// request may still run.
  void MarkPendingRelease(time_point aClosedAt);

  /// Applies the instance's own count of this proxy's connections, requested at
  /// aSentAt. A count that was requested before the last uncertain close is
  /// ignored.
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
