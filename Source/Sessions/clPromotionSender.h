#pragma once

#include "clSessionContext.h"

#include <functional>

namespace catkinloom {

/// Result of a promotion command and its repetitions.
struct promotion_result
{
  /// Outcome of the last one that was sent.
  promotion_outcome mOutcome = promotion_outcome::NotExecuted;
  /// At least one got no response: it may still be executed.
  bool mIsUnanswered = false;
};

/// Sends the command until it is answered, as long as it may be sent and
/// aMayContinue returns true.
///
/// Repetitions have the same token: a platform that does not check tokens may
/// receive them in any order.  If the platform checks tokens, a command without
/// a response is not repeated, since one with a newer token cancels it.
promotion_result
SendPromotionCommand(session_context& aContext,
                     const promotion_request& aRequest,
                     const std::function<bool()>& aMayContinue);

/// Delay after a promotion command that was not accepted.
constexpr milliseconds kPromotionRetryDelay{ 90 };

} // namespace catkinloom
