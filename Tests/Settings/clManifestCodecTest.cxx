#include "clManifestCodec.h"

#include <doctest/doctest.h>

using namespace catkinloom;

namespace {

/// Number of groups and proxies in the largest expected fleet.
constexpr int kFleetGroups = 6300;
constexpr int kFleetProxies = 2700;

/// Maximum size of one value in the platform's store.
constexpr std::size_t kPlatformValueBytes = 1000000;

manifest
FleetManifest()
{
  manifest declared;
  for (int i = 0; i < kFleetProxies; ++i) {
    declared.mProxies.push_back({ "proxy-" + std::to_string(i),
                                  "zone-" + std::to_string(i % 13),
                                  "10.100.200.30:7301" });
  }
  declared.mRequests.push_back(
    { "open-list", request_kind::Read, milliseconds(2000), true });
  for (int i = 0; i < kFleetGroups; ++i) {
    manifest_group group;
    group.mName = "database-group-" + std::to_string(i);
    for (const char* suffix : { "a", "b", "c" }) {
      group.mInstances.push_back(
        { group.mName + suffix, "zone-1", "10.100.200.31:9001", 3, 20 });
    }
    declared.mGroups.push_back(std::move(group));
  }
  return declared;
}

} // namespace

TEST_CASE("codec_round_trip_preserves_manifest")
{
  manifest declared = FleetManifest();
  declared.mGroups.resize(3);
  declared.mCallers.push_back({ "old-system", 2, 3, 4 });
  declared.mGroups[1].mAcknowledge = acknowledge_policy::Primary;
  const bucket_texts texts = EncodeManifest(declared);
  const auto read = DecodeManifest(texts);
  REQUIRE(read.has_value());
  CHECK(read.value().mGroups.size() == 3);
  CHECK(read.value().mCallers[0].mMaxQueue == 4);
  CHECK(read.value().mRequests[0].mMaxAge == milliseconds(2000));
  CHECK(EncodeManifest(read.value()) == texts);
}

TEST_CASE("codec_largest_fleet_manifest_fits_value_size_limit")
{
  const bucket_texts texts = EncodeManifest(FleetManifest());
  for (const auto& [bucket, text] : texts) {
    CHECK(text.size() < kPlatformValueBytes);
  }
  CHECK(EncodeHead({ 1, "s", ComputeBucketDigests(texts) }).size() <
        kPlatformValueBytes);
}

TEST_CASE("codec_change_of_one_group_changes_one_bucket")
{
  manifest declared = FleetManifest();
  const bucket_digests before = ComputeBucketDigests(EncodeManifest(declared));
  declared.mGroups[77].mInstances[0].mSlots = 5;
  const bucket_digests after = ComputeBucketDigests(EncodeManifest(declared));
  int changed = 0;
  for (const auto& [bucket, digest] : after) {
    changed += before.at(bucket) != digest ? 1 : 0;
  }
  CHECK(changed == 1);
}

TEST_CASE("codec_malformed_text_returns_error")
{
  for (const char* text :
       { "", "{", "[]", "{}", "{\"version\":-1}", "\x01", "null" }) {
    CAPTURE(text);
    CHECK_FALSE(DecodeHead(text).has_value());
    CHECK_FALSE(DecodeManifest({ { kGeneralBucket, text } }).has_value());
  }
}
