#pragma once

#include "clClock.h"
#include "clLog.h"

#include <cstdint>

namespace catkinloom {

/// Keeps the volume of decision lines bounded: refusals and failures have a
/// rate of their own, so that load can't crowd them out.
class decision_log_limiter
{
public:
  /// Budget of this process.
  static decision_log_limiter& Instance();

  /// True when one more line may be written.
  bool TryAcquire(time_point aNow, bool aIsFailure);

  /// Lines left out since the last call.
  std::uint64_t TakeSuppressedCount();

private:
  struct token_bucket
  {
    double mTokens;
    time_point mRefilledAt;
  };

  static bool TryAcquireFrom(token_bucket& aBucket,
                             double aPerSecond,
                             time_point aNow);

  token_bucket mSuccesses{ 0, {} };
  token_bucket mFailures{ 0, {} };
  std::uint64_t mSuppressedLines = 0;
};

/// Writes the line of one decision that touches a request, within the budget.
template<class... Args>
void
LogDecision(time_point aNow,
            bool aIsFailure,
            std::string_view aArea,
            fmt::format_string<Args...> aFormat,
            Args&&... aArgs)
{
  if (decision_log_limiter::Instance().TryAcquire(aNow, aIsFailure)) {
    Log(log_level::Decision, aArea, aFormat, std::forward<Args>(aArgs)...);
  }
}

} // namespace catkinloom
