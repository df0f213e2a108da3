#include "clLeadershipLease.h"
#include "clEventLoop.h"
#include "clJsonDirectoryCodec.h"
#include "clWireCodec.h"

#include <doctest/doctest.h>

using namespace catkinloom;

namespace {

/// Store that grants the same lease id in each generation and renews any lease.
class restorable_store : public coordination_store
{
public:
  store_generation Generation() const override { return mGeneration; }
  result<store_listing> List(const std::string&, milliseconds) override
  {
    return store_listing{};
  }
  result<store_changes> Watch(const std::string&,
                              store_revision,
                              milliseconds,
                              std::size_t,
                              store_call&) override
  {
    return store_changes{};
  }
  result<store_write> Put(const std::string&,
                          const std::string&,
                          store_revision,
                          store_lease_id,
                          milliseconds) override
  {
    return store_write{ store_write_outcome::Written, 1, mGeneration };
  }
  result<store_lease_id> GrantLease(milliseconds) override { return 7; }
  result<bool> RenewLease(store_lease_id) override
  {
    mGeneration = mGenerationOfRenewal;
    return true;
  }
  result<void> RevokeLease(store_lease_id) override
  {
    return boost::outcome_v2::success();
  }

  store_generation mGeneration = 1;
  /// Generation that the response to a renewal shows.
  store_generation mGenerationOfRenewal = 1;
};

class no_promotions : public promotion_port
{
public:
  promotion_outcome Promote(const promotion_request&, milliseconds) override
  {
    return promotion_outcome::NotExecuted;
  }
};

/// A proxy that holds a leadership lease of the store's first generation.
struct leadership_lease_fixture
{
  leadership_lease_fixture() { REQUIRE(mLease.Acquire()); }

  event_loop mLoop;
  platform::wire_codec mStatements;
  platform::json_directory_codec mDirectory;
  restorable_store mStore;
  no_promotions mPromotions;
  session_context mContext{ mLoop,
                            { mStatements, mDirectory, mStore, mPromotions },
                            session_settings(),
                            "p-1",
                            "a" };
  leadership_lease mLease{ mContext, [](bool, std::string_view) {} };
};

} // namespace

TEST_CASE("lease_id_of_published_lease_is_decoded")
{
  CHECK(DecodeLeaseId("98248932504504") == store_lease_id{ 98248932504504 });
}

TEST_CASE("lease_id_of_unreadable_key_is_not_known")
{
  for (const char* value : { "", "0", "lease", "12x", "{}", "-5" }) {
    CHECK_FALSE(DecodeLeaseId(value));
  }
}

// Regression tests for issue 28: a lease id that the store assigned again after
// a restore was renewed as if it were this proxy's lease, which no promoter
// revokes, so that current reads could be stale.

TEST_CASE_FIXTURE(leadership_lease_fixture,
                  "leadership_lease_after_restore_is_not_held")
{
  CHECK(mLease.Renew());
  mStore.mGeneration = 2;
  CHECK_FALSE(mLease.IsHeld());
}

TEST_CASE_FIXTURE(leadership_lease_fixture,
                  "leadership_lease_renewed_by_restored_store_is_not_held")
{
  mStore.mGenerationOfRenewal = 2;
  CHECK_FALSE(mLease.Renew());
  CHECK_FALSE(mLease.IsHeld());
}
