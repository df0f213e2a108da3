#include "clCoordinationStore.h"

namespace catkinloom {

result<store_write>
coordination_store::Overwrite(const std::string& aKey,
                              const std::string& aValue,
                              store_lease_id aLease,
                              milliseconds aTimeout)
{
  BOOST_OUTCOME_TRY(const store_listing listing, List(aKey, aTimeout));
  store_revision revision = 0;
  for (const store_item& item : listing.mItems) {
    revision = item.mKey == aKey ? item.mRevision : revision;
  }
  return Put(aKey, aValue, revision, aLease, aTimeout);
}

} // namespace catkinloom
