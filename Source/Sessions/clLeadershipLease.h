#pragma once

#include "clSessionContext.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace catkinloom {

/// This proxy's leadership lease.
///
/// A proxy holds one lease for all groups.  A key that is not attached to the
/// lease names it, so that the key can't expire.  A promoter revokes the leases
/// of all proxies before it promotes an instance: a successful renewal
/// therefore proves that, when it was sent, nobody had been promoted since the
/// failover records were last read under the same lease.  A renewal costs a
/// tenth of reading the records.
class leadership_lease
{
public:
  /// Called after each store call with its success, and the cause if it failed.
  using store_call_handler = std::function<void(bool, std::string_view)>;

  leadership_lease(session_context& aContext, store_call_handler aOnStoreCall);

  /// True if this proxy holds a lease and has not learned that it ended.  A
  /// restore of the store ends it: its id may have been assigned again.
  bool IsHeld() const
  {
    return mLease != 0 && mGeneration == mContext.mPorts.mStore.Generation();
  }

  /// Acquires a new lease and publishes its id; false if either call failed.
  bool Acquire();

  /// Renews the lease.  False if it was revoked or expired, or if the store was
  /// not reached; a lease that has ended must be acquired again.
  bool Renew();

private:
  session_context& mContext;
  store_call_handler mOnStoreCall;
  store_lease_id mLease = 0;
  /// Generation of the store in which the lease was granted.
  store_generation mGeneration = 0;
};

/// Id of the lease that the value of a leadership lease key names; empty if the
/// value can't be read.
std::optional<store_lease_id>
DecodeLeaseId(std::string_view aValue);

/// Revokes the leadership lease of every proxy, so that no renewal of them is
/// evidence any more.  Errors: PlatformUnavailable; some leases may then still
/// be valid.
result<void>
RevokeAllLeadershipLeases(session_context& aContext);

} // namespace catkinloom
