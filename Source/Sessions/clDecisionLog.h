#pragma once

#include "clClock.h"
#include "clLog.h"

#include <cstdint>

namespace catkinloom {

/// Rate limiter for decision log lines.  Failures have a separate token bucket,
/// so that lines of successful statements can't displace them under load.
class decision_log_limiter
{
public:
  /// Shared by the whole process.
  static decision_log_limiter& Instance();

  /// Returns true if a line may be written now; otherwise counts it as
  /// suppressed.
  bool TryAcquire(time_point aNow, bool aIsFailure);

  /// Returns the number of lines suppressed since the last call.
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

/// Logs a decision about a request unless the rate limit is exceeded.
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
