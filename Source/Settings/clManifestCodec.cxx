#include "clManifestCodec.h"

#include "clPlacement.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <charconv>
#include <fmt/format.h>

namespace catkinloom {

namespace json = boost::json;

namespace {

/// PlacementWeight serves as a hash of the name.
std::uint32_t
BucketOf(const std::string& aGroup)
{
  return static_cast<std::uint32_t>(PlacementWeight(aGroup, "bucket") %
                                    kManifestBuckets);
}

json::array
EncodeGroup(const manifest_group& aGroup)
{
  json::array instances;
  for (const manifest_instance& instance : aGroup.mInstances) {
    instances.push_back(json::array{ instance.mName,
                                     instance.mZone,
                                     instance.mAddress,
                                     instance.mSlots,
                                     instance.mConnections });
  }
  return { aGroup.mName,
           aGroup.mAcknowledge == acknowledge_policy::Confirmed,
           instances };
}

manifest_group
DecodeGroup(const json::array& aRow)
{
  manifest_group group;
  group.mName = aRow.at(0).as_string();
  group.mAcknowledge = aRow.at(1).as_bool() ? acknowledge_policy::Confirmed
                                            : acknowledge_policy::Primary;
  for (const json::value& item : aRow.at(2).as_array()) {
    const json::array& row = item.as_array();
    manifest_instance instance;
    instance.mName = row.at(0).as_string();
    instance.mZone = row.at(1).as_string();
    instance.mAddress = row.at(2).as_string();
    instance.mSlots = row.at(3).to_number<std::uint32_t>();
    instance.mConnections = row.at(4).to_number<std::uint32_t>();
    group.mInstances.push_back(std::move(instance));
  }
  return group;
}

std::string
EncodeGeneral(const manifest& aManifest)
{
  json::array proxies;
  for (const manifest_proxy& proxy : aManifest.mProxies) {
    proxies.push_back(
      json::array{ proxy.mName, proxy.mZone, proxy.mPeerAddress });
  }
  json::array callers;
  for (const manifest_caller& caller : aManifest.mCallers) {
    callers.push_back(json::array{
      caller.mName, caller.mWeight, caller.mMaxInFlight, caller.mMaxQueue });
  }
  json::array requests;
  for (const manifest_request& request : aManifest.mRequests) {
    const std::int64_t age = request.mMaxAge ? request.mMaxAge->count() : -1;
    requests.push_back(json::array{ request.mName,
                                    request.mKind == request_kind::Write,
                                    age,
                                    request.mRepeatable });
  }
  return json::serialize(json::object{
    { "proxies", proxies }, { "callers", callers }, { "requests", requests } });
}

void
DecodeGeneral(const json::object& aObject, manifest& aManifest)
{
  for (const json::value& item : aObject.at("proxies").as_array()) {
    const json::array& row = item.as_array();
    aManifest.mProxies.push_back({ std::string(row.at(0).as_string()),
                                   std::string(row.at(1).as_string()),
                                   std::string(row.at(2).as_string()) });
  }
  for (const json::value& item : aObject.at("callers").as_array()) {
    const json::array& row = item.as_array();
    aManifest.mCallers.push_back({ std::string(row.at(0).as_string()),
                                   row.at(1).to_number<std::uint32_t>(),
                                   row.at(2).to_number<std::uint32_t>(),
                                   row.at(3).to_number<std::uint32_t>() });
  }
  for (const json::value& item : aObject.at("requests").as_array()) {
    const json::array& row = item.as_array();
    manifest_request request;
    request.mName = row.at(0).as_string();
    request.mKind =
      row.at(1).as_bool() ? request_kind::Write : request_kind::Read;
    if (row.at(2).as_int64() >= 0) {
      request.mMaxAge = milliseconds(row.at(2).as_int64());
    }
    request.mRepeatable = row.at(3).as_bool();
    aManifest.mRequests.push_back(std::move(request));
  }
}

/// Runs a decoder and converts an exception, which the JSON library throws on
/// malformed input, into an error.
template<class Decode>
auto
DecodeSafely(Decode aDecode) -> result<decltype(aDecode())>
{
  try {
    return aDecode();
  } catch (const std::exception& failure) {
    return error{ error_kind::BadManifest,
                  std::string("Stored manifest cannot be decoded: ") +
                    failure.what() };
  }
}

} // namespace

std::string
ComputeDigest(std::string_view aText)
{
  return fmt::format("{:016x}{:016x}",
                     PlacementWeight(aText, "digest-high"),
                     PlacementWeight("digest-low", aText));
}

bucket_texts
EncodeManifest(const manifest& aManifest)
{
  std::vector<const manifest_group*> groups;
  for (const manifest_group& group : aManifest.mGroups) {
    groups.push_back(&group);
  }
  std::sort(groups.begin(), groups.end(), [](auto* aLeft, auto* aRight) {
    return aLeft->mName < aRight->mName;
  });
  std::map<std::uint32_t, json::array> rows;
  for (const manifest_group* group : groups) {
    rows[BucketOf(group->mName)].push_back(EncodeGroup(*group));
  }
  bucket_texts texts;
  for (const auto& [bucket, list] : rows) {
    texts[bucket] = json::serialize(list);
  }
  texts[kGeneralBucket] = EncodeGeneral(aManifest);
  return texts;
}

result<manifest>
DecodeManifest(const bucket_texts& aTexts)
{
  return DecodeSafely([&] {
    manifest declared;
    for (const auto& [bucket, text] : aTexts) {
      const json::value value = json::parse(text);
      if (bucket == kGeneralBucket) {
        DecodeGeneral(value.as_object(), declared);
        continue;
      }
      for (const json::value& row : value.as_array()) {
        declared.mGroups.push_back(DecodeGroup(row.as_array()));
      }
    }
    std::sort(declared.mGroups.begin(),
              declared.mGroups.end(),
              [](const auto& aLeft, const auto& aRight) {
                return aLeft.mName < aRight.mName;
              });
    return declared;
  });
}

std::string
EncodeHead(const manifest_head& aHead)
{
  json::object buckets;
  for (const auto& [bucket, digest] : aHead.mBuckets) {
    buckets[std::to_string(bucket)] = digest;
  }
  return json::serialize(json::object{ { "version", aHead.mVersion },
                                       { "submission", aHead.mSubmissionId },
                                       { "buckets", buckets } });
}

result<manifest_head>
DecodeHead(const std::string& aText)
{
  return DecodeSafely([&] {
    const json::value value = json::parse(aText);
    const json::object& object = value.as_object();
    manifest_head head;
    head.mVersion = object.at("version").to_number<std::uint64_t>();
    head.mSubmissionId = object.at("submission").as_string();
    for (const auto& row : object.at("buckets").as_object()) {
      const std::string_view name(row.key().data(), row.key().size());
      std::uint32_t bucket = 0;
      std::from_chars(name.data(), name.data() + name.size(), bucket);
      head.mBuckets[bucket] = row.value().as_string();
    }
    return head;
  });
}

bucket_digests
ComputeBucketDigests(const bucket_texts& aTexts)
{
  bucket_digests digests;
  for (const auto& [bucket, text] : aTexts) {
    digests[bucket] = ComputeDigest(text);
  }
  return digests;
}

} // namespace catkinloom
