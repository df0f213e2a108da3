#include "clLeadershipLease.h"

#include <doctest/doctest.h>

using namespace catkinloom;

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
