#pragma once

#include "clClock.h"

#include <cstdint>
#include <string>

namespace catkinloom {

/// An order to make an instance the leader of its service.
struct promotion_request
{
  std::string mService;
  std::string mInstance;
  /// Proxy that gives the order.
  std::string mHolder;
  /// Rises with every attempt; an older one is refused.
  std::uint64_t mFencingToken = 0;
};

/// How the order was taken.
enum class promotion_outcome
{
  /// It takes effect within about a second.
  Accepted,
  /// A newer attempt exists, or the instance does not run.
  Refused,
  /// Nothing was done; the same order may be sent again.
  NotExecuted,
  /// No answer: it may still take effect.
  Unknown,
};

/// Where promotions are ordered.
class promotion_port
{
public:
  virtual ~promotion_port() = default;

  /// Sends the order; suspends the calling fiber.
  virtual promotion_outcome Promote(const promotion_request& aRequest,
                                    milliseconds aTimeout) = 0;
};

} // namespace catkinloom
