#include "clPromotionSender.h"

#include "clLog.h"

namespace catkinloom {

namespace {

milliseconds::rep
ToMilliseconds(nanoseconds aTime)
{
  return std::chrono::duration_cast<milliseconds>(aTime).count();
}

promotion_outcome
SendOnce(session_context& aContext, const promotion_request& aRequest)
{
  aContext.mMetrics.mPromotions.Increment();
  const time_point startedAt = aContext.Now();
  const promotion_outcome end = aContext.mPorts.mPromotions.Promote(
    aRequest, aContext.mSettings.mPromoteTimeout);
  Log(log_level::Info,
      "failover",
      "Promotion command finished; end is 0 accepted, 1 refused, 2 not "
      "executed, 3 no response. service={} instance={} token={} end={} "
      "send_window_left_ms={} taken_ms={}",
      aRequest.mService,
      aRequest.mInstance,
      aRequest.mFencingToken,
      static_cast<int>(end),
      ToMilliseconds(aRequest.mSendBy - aContext.Now()),
      ToMilliseconds(aContext.Now() - startedAt));
  if (end == promotion_outcome::Unknown) {
    aContext.mMetrics.mUnansweredPromotions.Increment();
  }
  return end;
}

} // namespace

promotion_result
SendPromotionCommand(session_context& aContext,
                     const promotion_request& aRequest,
                     const std::function<bool()>& aMayContinue)
{
  promotion_result result;
  while (true) {
    result.mOutcome = SendOnce(aContext, aRequest);
    const bool isUnanswered = result.mOutcome == promotion_outcome::Unknown;
    result.mIsUnanswered = result.mIsUnanswered || isUnanswered;
    const bool isRepeated =
      result.mOutcome == promotion_outcome::NotExecuted ||
      (isUnanswered && !aContext.mSettings.mFencedPromotions);
    const bool isInTime =
      aContext.Now() + kPromotionRetryDelay < aRequest.mSendBy;
    if (!isRepeated || !isInTime || !aMayContinue()) {
      return result;
    }
    aContext.mLoop.Sleep(kPromotionRetryDelay);
  }
}

} // namespace catkinloom
