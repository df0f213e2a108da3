#pragma once

#include "clClock.h"
#include "clLeadership.h"

#include <algorithm>
#include <optional>
#include <utility>

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
  /// may be executed for aLifetime from then, unless it was withdrawn.
  void OnRecord(const failover_record& aRecord,
                time_point aNow,
                milliseconds aLifetime)
  {
    if (aRecord.mPossibleLeaders.empty()) {
      mUntil.reset();
      return;
    }
    command_id command = aRecord.mCommand;
    if (command.mToken == 0) {
      // A record of an older build; its version changes more often.
      command.mToken = FencingToken(aRecord.mVersion);
    }
    if (!mUntil || command != mCommand) {
      const bool isWithdrawn = mWithdrawn == command;
      mCommand = std::move(command);
      mUntil = isWithdrawn ? aNow : aNow + aLifetime;
    }
  }

  /// This process issued the command and knows that it is not executed: it was
  /// never sent, or every time refused.  The record may name it all the same,
  /// now or later, if its write got no response.
  void OnWithdrawn(command_id aCommand, time_point aNow)
  {
    if (mUntil && aCommand == mCommand) {
      mUntil = std::min(*mUntil, aNow);
    }
    mWithdrawn = std::move(aCommand);
  }

  /// Empty if the record names no command.
  std::optional<time_point> Until() const { return mUntil; }

  bool IsPendingAt(time_point aMoment) const
  {
    return mUntil && aMoment < *mUntil;
  }

private:
  command_id mCommand;
  std::optional<command_id> mWithdrawn;
  std::optional<time_point> mUntil;
};

} // namespace catkinloom
