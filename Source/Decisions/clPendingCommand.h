#pragma once

#include "clClock.h"
#include "clLeadership.h"

#include <cstdint>
#include <optional>

namespace catkinloom {

/// Time until which the promotion command that a group's failover record names
/// may still be executed.
///
/// A command without a response may be kept by the network or the platform.  A
/// platform that does not check fencing tokens executes it whenever it arrives,
/// so no newer command may be sent before.  The time counts from when this
/// proxy first saw the command's token in the record, and holds for all records
/// that carry the command over.
class pending_command
{
public:
  /// The record is known at aNow; a command that it names for the first time
  /// may be executed for aLifetime from then.
  void OnRecord(const failover_record& aRecord,
                time_point aNow,
                milliseconds aLifetime)
  {
    if (aRecord.mPossibleLeaders.empty()) {
      mUntil.reset();
      return;
    }
    // A record of an older build has no token; its version changes more often.
    const std::uint64_t token =
      aRecord.mToken != 0 ? aRecord.mToken : FencingToken(aRecord.mVersion);
    if (!mUntil || token != mToken) {
      mToken = token;
      mUntil = aNow + aLifetime;
    }
  }

  /// Empty if the record names no command.
  std::optional<time_point> Until() const { return mUntil; }

  bool IsPendingAt(time_point aMoment) const
  {
    return mUntil && aMoment < *mUntil;
  }

private:
  std::uint64_t mToken = 0;
  std::optional<time_point> mUntil;
};

} // namespace catkinloom
