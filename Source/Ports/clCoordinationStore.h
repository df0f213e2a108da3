#pragma once

#include "clClock.h"
#include "clError.h"

#include <cstdint>
#include <string>
#include <vector>

namespace catkinloom {

/// Number of a change in the store; rises with each change.
using store_revision = std::uint64_t;

/// Name of a lease; 0 means none.
using store_lease_id = std::uint64_t;

/// One key as it stands.
struct store_item
{
  std::string mKey;
  std::string mValue;
  /// The key's last change; 0 when the key does not exist.
  store_revision mRevision = 0;
  store_lease_id mLease = 0;
};

/// Every key under a prefix, as of a revision.  Pages are no snapshot: a key
/// may be newer than the revision, never older.
struct store_listing
{
  std::vector<store_item> mItems;
  store_revision mRevision = 0;
};

/// One change.
struct store_event
{
  store_item mItem;
  bool mDeleted = false;
};

/// What a watch has seen.
struct store_changes
{
  std::vector<store_event> mEvents;
  /// Where the next watch goes on.
  store_revision mRevision = 0;
  /// The history was dropped; the keys must be listed anew.
  bool mHistoryLost = false;
};

/// How a conditional write ended.
enum class store_write_outcome
{
  Written,
  /// A condition did not hold; nothing was written.
  Conflict,
  /// The lease has ended; nothing was written.
  LeaseEnded,
};

struct store_write
{
  store_write_outcome mOutcome = store_write_outcome::Conflict;
  /// Written: the revision of the change.
  store_revision mRevision = 0;
};

/// The service that keeps what must last.  Every call suspends the calling
/// fiber.  Errors of all calls: PlatformUnavailable, and then a write may
/// still be carried out later if its condition holds.
class coordination_store
{
public:
  virtual ~coordination_store() = default;

  /// Lists the keys under a prefix, linearizably.
  virtual result<store_listing> List(const std::string& aPrefix,
                                     milliseconds aTimeout) = 0;

  /// Waits for changes after a revision.
  virtual result<store_changes> Watch(const std::string& aPrefix,
                                      store_revision aAfter,
                                      milliseconds aWait) = 0;

  /// Writes a key if it still has the expected revision; 0 means absent.
  virtual result<store_write> Put(const std::string& aKey,
                                  const std::string& aValue,
                                  store_revision aExpected,
                                  store_lease_id aLease,
                                  milliseconds aTimeout) = 0;

  /// Writes a key that only this process writes, whatever it held before.
  result<store_write> Overwrite(const std::string& aKey,
                                const std::string& aValue,
                                store_lease_id aLease,
                                milliseconds aTimeout);

  virtual result<store_lease_id> GrantLease(milliseconds aLifetime) = 0;

  /// Renews a lease; false when it has ended.
  virtual result<bool> RenewLease(store_lease_id aLease) = 0;

  /// Ends a lease and removes its keys.
  virtual result<void> RevokeLease(store_lease_id aLease) = 0;
};

} // namespace catkinloom
