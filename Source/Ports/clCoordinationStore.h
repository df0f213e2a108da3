#pragma once

#include "clClock.h"
#include "clError.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace catkinloom {

/// Number of a change in the store; increases with each change of a generation.
using store_revision = std::uint64_t;

/// Number of the store's history.  It increases when the store returns from an
/// older copy of its data: changes, leases and revisions since the copy are
/// gone then, and their numbers are assigned again.  0 if the store does not
/// tell.
using store_generation = std::uint64_t;

/// Identifier of a lease; 0 means none.
using store_lease_id = std::uint64_t;

/// A key with its current value.
struct store_item
{
  std::string mKey;
  std::string mValue;
  /// Revision of the key's last change; 0 if the key does not exist.
  store_revision mRevision = 0;
  store_lease_id mLease = 0;
  /// Generation that mRevision belongs to.
  store_generation mGeneration = 0;
};

/// All keys under a prefix as of mRevision.  It is read in pages, which are not
/// one snapshot: a key may be newer than mRevision, but never older.
struct store_listing
{
  std::vector<store_item> mItems;
  store_revision mRevision = 0;
  /// Generation that all items and revisions belong to.
  store_generation mGeneration = 0;
  /// Size of the response.
  std::size_t mBytes = 0;
};

/// A change of one key.
struct store_event
{
  store_item mItem;
  bool mDeleted = false;
};

/// Changes that a watch returned.
struct store_changes
{
  std::vector<store_event> mEvents;
  /// Revision after which the next watch continues.
  store_revision mRevision = 0;
  /// Generation that all events and revisions belong to.  If it is not that of
  /// the watch's revision, changes may be missing.
  store_generation mGeneration = 0;
  /// The keys must be listed again: the store has dropped part of its history,
  /// or the response with all changes exceeds the given size.
  bool mNeedsListing = false;
};

/// A call under way, which another fiber may observe and cancel.
struct store_call
{
  /// The response has begun to arrive.
  bool mIsAnswered = false;
  /// Ends the call and closes its connection; the call then fails.  Empty while
  /// no call is under way.
  std::function<void()> mCancel;
};

/// Outcome of a conditional write.
enum class store_write_outcome
{
  Written,
  /// A condition did not hold; nothing was written.
  Conflict,
  /// The lease has expired or was revoked; nothing was written.
  LeaseEnded,
};

/// Result of a conditional write.
struct store_write
{
  store_write_outcome mOutcome = store_write_outcome::Conflict;
  /// Revision of the change; only valid if the outcome is Written.
  store_revision mRevision = 0;
  /// Generation in which the write was executed or refused.
  store_generation mGeneration = 0;
};

/// The key-value store that holds the state shared by all proxies.  Every call
/// suspends the calling fiber.  A time-out applies until the response begins; a
/// large one then takes as long as it arrives without a pause.  Errors of all
/// calls: PlatformUnavailable; the store may then still execute a write later,
/// if its condition holds.
class coordination_store
{
public:
  virtual ~coordination_store() = default;

  /// Generation that the newest response showed.  A response of an earlier one
  /// that arrives later fails its call.
  virtual store_generation Generation() const = 0;

  /// Lists the keys under a prefix; the read is linearizable.
  virtual result<store_listing> List(const std::string& aPrefix,
                                     milliseconds aTimeout) = 0;

  /// Waits up to aWait for changes after the revision aAfter.  A response with
  /// more than aMaxBytes is not received.  aCall must outlive the call.
  virtual result<store_changes> Watch(const std::string& aPrefix,
                                      store_revision aAfter,
                                      milliseconds aWait,
                                      std::size_t aMaxBytes,
                                      store_call& aCall) = 0;

  /// Writes a key if it has the revision aExpected; 0 means that the key must
  /// not exist.  The key is attached to aLease and deleted when it ends; 0
  /// means no lease.
  virtual result<store_write> Put(const std::string& aKey,
                                  const std::string& aValue,
                                  store_revision aExpected,
                                  store_lease_id aLease,
                                  milliseconds aTimeout) = 0;

  /// Writes a key whatever its current value; only for keys that no other
  /// process writes, since it reads the revision and then calls Put.
  result<store_write> Overwrite(const std::string& aKey,
                                const std::string& aValue,
                                store_lease_id aLease,
                                milliseconds aTimeout);

  /// Grants a lease that expires if it is not renewed within aLifetime.
  virtual result<store_lease_id> GrantLease(milliseconds aLifetime) = 0;

  /// Renews a lease; false if it has expired or was revoked.
  virtual result<bool> RenewLease(store_lease_id aLease) = 0;

  /// Revokes a lease and deletes the keys attached to it.
  virtual result<void> RevokeLease(store_lease_id aLease) = 0;
};

} // namespace catkinloom
