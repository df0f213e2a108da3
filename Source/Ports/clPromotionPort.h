#pragma once

#include "clClock.h"

#include <cstdint>
#include <string>

namespace catkinloom {

/// A command to make an instance the leader of its service.
struct promotion_request
{
  std::string mService;
  std::string mInstance;
  /// Proxy that sends the command.
  std::string mHolder;
  /// Increases with every attempt; a platform that checks tokens refuses a
  /// command with an older one.
  std::uint64_t mFencingToken = 0;
  /// The command is not sent after this time.
  time_point mSendBy;
};

/// Outcome of a promotion command.
enum class promotion_outcome
{
  /// The promotion takes effect within about 1 s.
  Accepted,
  /// A newer attempt exists, or the instance is not running.
  Refused,
  /// The command was not executed; it may be sent again.
  NotExecuted,
  /// No response: the command may still take effect.
  Unknown,
};

/// Interface to the management API that executes promotions.
class promotion_port
{
public:
  virtual ~promotion_port() = default;

  /// Sends the command, unless its time has passed when the connection is open;
  /// suspends the calling fiber.  A command that gets no response in time is
  /// withdrawn from the network as far as possible.
  virtual promotion_outcome Promote(const promotion_request& aRequest,
                                    milliseconds aTimeout) = 0;
};

} // namespace catkinloom
