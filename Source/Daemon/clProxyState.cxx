#include "clProxyState.h"

#include <fmt/format.h>

namespace catkinloom {

namespace {

router_settings
RouterSettings(const timing_settings& aTiming)
{
  router_settings settings;
  settings.mPrimaryContactTimeout = aTiming.mPrimaryContactTimeout;
  settings.mTermLease = aTiming.mTermLease;
  return settings;
}

promotion_settings
PromotionSettings(const timing_settings& aTiming)
{
  promotion_settings settings;
  settings.mPrimaryContactTimeout = aTiming.mPrimaryContactTimeout;
  settings.mTermLease = aTiming.mTermLease;
  return settings;
}

} // namespace

proxy_state::proxy_state(event_loop& aLoop,
                         daemon_settings aSettings,
                         std::string aIdentity)
  : mLoop(aLoop)
  , mSettings(std::move(aSettings))
  , mIdentity(std::move(aIdentity))
  , mRouter(RouterSettings(mSettings.mTiming), mSettings.mZone)
  , mPromotion(PromotionSettings(mSettings.mTiming), mIdentity)
  , mRetryBudget(mSettings.mLimits.mRetryPercent)
{
}

std::string
proxy_state::NextRequestId()
{
  return fmt::format("{}.{}", mIdentity, ++mLastRequestNumber);
}

fiber_signal&
proxy_state::SignalOf(group_row_number aGroup)
{
  while (mSignals.size() <= aGroup) {
    mSignals.push_back(std::make_unique<fiber_signal>(mLoop));
  }
  return *mSignals[aGroup];
}

} // namespace catkinloom
