#include "clLeadershipLease.h"

#include "clLog.h"
#include "clStoreKeys.h"

#include <charconv>

namespace catkinloom {

namespace {

/// Id of the lease that an item's value names; 0 if it names none.
store_lease_id
LeaseIdOf(const store_item& aItem)
{
  store_lease_id lease = 0;
  const char* begin = aItem.mValue.data();
  std::from_chars(begin, begin + aItem.mValue.size(), lease);
  return lease;
}

} // namespace

leadership_lease::leadership_lease(session_context& aContext,
                                   store_call_handler aOnStoreCall)
  : mContext(aContext)
  , mOnStoreCall(std::move(aOnStoreCall))
{
}

bool
leadership_lease::Acquire()
{
  const session_settings& settings = mContext.mSettings;
  coordination_store& store = mContext.mPorts.mStore;
  mLease = 0;
  const auto lease = store.GrantLease(settings.mLeadershipLeaseLifetime);
  mOnStoreCall(bool(lease), lease ? "" : lease.error().mDetail);
  if (!lease) {
    return false;
  }
  const std::string key =
    std::string(store_keys::kLeadershipLeasePrefix) + mContext.Name();
  const auto written = store.Overwrite(
    key, std::to_string(lease.value()), 0, settings.mStoreTimeout);
  mOnStoreCall(bool(written), written ? "" : written.error().mDetail);
  if (!written || written.value().mOutcome != store_write_outcome::Written) {
    return false;
  }
  mLease = lease.value();
  Log(log_level::Info,
      "permit",
      "Leadership lease acquired; records are read again under it. lease={}",
      mLease);
  return true;
}

bool
leadership_lease::Renew()
{
  const auto renewed = mContext.mPorts.mStore.RenewLease(mLease);
  mOnStoreCall(bool(renewed), renewed ? "" : renewed.error().mDetail);
  if (!renewed) {
    return false;
  }
  if (!renewed.value()) {
    Log(log_level::Info,
        "permit",
        "Leadership lease revoked or expired; records are read again. lease={}",
        mLease);
    mLease = 0;
    return false;
  }
  return true;
}

result<void>
RevokeAllLeadershipLeases(session_context& aContext)
{
  coordination_store& store = aContext.mPorts.mStore;
  BOOST_OUTCOME_TRY(const store_listing listing,
                    store.List(std::string(store_keys::kLeadershipLeasePrefix),
                               aContext.mSettings.mStoreTimeout));
  std::size_t failed = 0;
  std::vector<std::function<void()>> jobs;
  for (const store_item& item : listing.mItems) {
    jobs.emplace_back([&, lease = LeaseIdOf(item)] {
      failed += store.RevokeLease(lease) ? 0 : 1;
    });
  }
  aContext.mLoop.RunAll(jobs);
  if (failed > 0) {
    return error{
      error_kind::PlatformUnavailable,
      std::to_string(failed) +
        " leadership leases not revoked and possibly still valid; retry"
    };
  }
  return boost::outcome_v2::success();
}

} // namespace catkinloom
