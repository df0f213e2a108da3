#pragma once

#include "clClock.h"
#include "clLog.h"

#include <cstdint>

namespace catkinloom {

/// Keeps the volume of decision lines bounded: refusals and failures have a
/// rate of their own, so that load can't crowd them out.
class decision_log_budget
{
public:
  /// Budget of this process.
  static decision_log_budget& Instance();

  /// True when one more line may be written.
  bool Take(time_point aNow, bool aIsFailure);

  /// Lines left out since the last call.
  std::uint64_t TakeLeftOut();

private:
  struct line_budget
  {
    double mTokens;
    time_point mFilledAt;
  };

  static bool TakeFrom(line_budget& aBudget,
                       double aPerSecond,
                       time_point aNow);

  line_budget mPlain{ 0, {} };
  line_budget mFailures{ 0, {} };
  std::uint64_t mLeftOut = 0;
};

/// Writes the line of one decision that touches a request, within the budget.
template<class... Args>
void
LogDecision(time_point aNow,
            bool aIsFailure,
            std::string_view aPart,
            fmt::format_string<Args...> aFormat,
            Args&&... aArgs)
{
  if (decision_log_budget::Instance().Take(aNow, aIsFailure)) {
    Log(log_level::Decision, aPart, aFormat, std::forward<Args>(aArgs)...);
  }
}

} // namespace catkinloom
