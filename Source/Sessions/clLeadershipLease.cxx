#include "clLeadershipLease.h"

#include "clLog.h"
#include "clStoreKeys.h"

#include <charconv>

namespace catkinloom {

std::optional<store_lease_id>
DecodeLeaseId(std::string_view aValue)
{
  store_lease_id lease = 0;
  const char* end = aValue.data() + aValue.size();
  const auto [parsedEnd, code] = std::from_chars(aValue.data(), end, lease);
  const bool isWhole = code == std::errc() && parsedEnd == end;
  return isWhole && lease != 0 ? std::optional(lease) : std::nullopt;
}

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
  mGeneration = store.Generation();
  const std::string key =
    std::string(store_keys::kLeadershipLeasePrefix) + mContext.Name();
  const auto written = store.Overwrite(
    key, std::to_string(lease.value()), 0, settings.mStoreTimeout);
  mOnStoreCall(bool(written), written ? "" : written.error().mDetail);
  if (!written || written.value().mOutcome != store_write_outcome::Written) {
    return false;
  }
  mLease = lease.value();
  if (!IsHeld()) {
    return false;
  }
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
  if (!renewed.value() || !IsHeld()) {
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
    const auto lease = DecodeLeaseId(item.mValue);
    if (!lease) {
      // Some proxy may hold a lease that this key names in another format.
      Log(log_level::Warning,
          "permit",
          "Leadership lease key can't be read, so that its lease can't be "
          "revoked; no instance is promoted. key={}",
          item.mKey);
      ++failed;
      continue;
    }
    jobs.emplace_back(
      [&, lease = *lease] { failed += store.RevokeLease(lease) ? 0 : 1; });
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
