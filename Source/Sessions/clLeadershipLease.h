#pragma once

#include "clSessionContext.h"

#include <functional>
#include <string>

namespace catkinloom {

/// This proxy's permit to take a renewed lease for evidence of leadership.
///
/// The permit names a lease in a key that itself has none, so that the key
/// can't vanish.  A promoter ends the leases of all permits before it lets
/// anyone lead: a renewal that succeeds therefore proves, for when it was
/// sent, that nobody was promoted since the records were last read under the
/// same permit.  A renewal costs a tenth of a reading.
class leadership_lease
{
public:
  /// Told whether the store was reached, and the cause if not.
  using store_call_handler = std::function<void(bool, std::string_view)>;

  leadership_lease(session_context& aContext, store_call_handler aOnStoreCall);

  /// True when the permit stands as far as this proxy knows.
  bool IsHeld() const { return mLease != 0; }

  /// Obtains a permit; false when the store did not grant one.
  bool Acquire();

  /// Renews the lease.  False when the permit was ended or the store was not
  /// reached; an ended one must be obtained anew.
  bool Renew();

private:
  session_context& mContext;
  store_call_handler mOnStoreCall;
  store_lease_id mLease = 0;
};

/// Ends the leases of every proxy's permit, so that no renewal is evidence any
/// more.  Errors: PlatformUnavailable; then some may still stand.
result<void>
RevokeAllLeadershipLeases(session_context& aContext);

} // namespace catkinloom
