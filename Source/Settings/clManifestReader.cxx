#include "clManifestReader.h"

#include "clGroupTable.h"
#include "clYamlMapping.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace catkinloom {

namespace {

constexpr std::uint32_t kManifestFormat = 1;

/// Each proxy needs two connections to each instance: one to poll the
/// instance's status and one for requests.
constexpr std::uint32_t kMinConnectionsPerProxy = 2;

constexpr std::size_t kMaxNameBytes = 64;

result<std::string>
ReadName(const yaml_mapping& aMapping,
         std::string_view aKey,
         std::set<std::string>& aUsedNames)
{
  BOOST_OUTCOME_TRY(std::string name, aMapping.Text(aKey));
  const bool isValid =
    std::all_of(name.begin(), name.end(), [](unsigned char aLetter) {
      return std::isalnum(aLetter) != 0 || aLetter == '-' || aLetter == '_';
    });
  if (!isValid || name.size() > kMaxNameBytes) {
    return aMapping.ErrorAt(aKey,
                            "'" + name +
                              "' is not a name. Allowed: up to 64 letters, "
                              "digits, '-' and '_'.");
  }
  if (!aUsedNames.insert(name).second) {
    return aMapping.ErrorAt(aKey, "Name '" + name + "' is taken already.");
  }
  return name;
}

/// Parses each item of a list of uniquely named mappings with aRead.
template<class Row, class Read>
result<std::vector<Row>>
ReadRows(const yaml_mapping& aRoot,
         std::string_view aKey,
         const std::vector<std::string_view>& aAllowed,
         Read aRead)
{
  std::vector<Row> rows;
  std::set<std::string> usedNames;
  BOOST_OUTCOME_TRY(
    aRoot.ForEach(aKey, [&](const YAML::Node& aItem) -> result<void> {
      BOOST_OUTCOME_TRY(
        const yaml_mapping mapping,
        yaml_mapping::FromNode(
          aRoot.File(), aItem, error_kind::BadManifest, aAllowed));
      Row row;
      BOOST_OUTCOME_TRY(row.mName, ReadName(mapping, "name", usedNames));
      BOOST_OUTCOME_TRY(aRead(mapping, row));
      rows.push_back(std::move(row));
      return boost::outcome_v2::success();
    }));
  return rows;
}

result<void>
ReadProxy(const yaml_mapping& aMapping, manifest_proxy& aProxy)
{
  BOOST_OUTCOME_TRY(aProxy.mZone, aMapping.Text("zone"));
  BOOST_OUTCOME_TRY(aProxy.mPeerAddress, aMapping.Text("peer"));
  return boost::outcome_v2::success();
}

result<void>
ReadCaller(const yaml_mapping& aMapping, manifest_caller& aCaller)
{
  BOOST_OUTCOME_TRY(aCaller.mWeight, aMapping.Number("weight", 1, 100, 1));
  BOOST_OUTCOME_TRY(aCaller.mMaxInFlight,
                    aMapping.Number("max_in_flight", 1, 100000, 1000));
  BOOST_OUTCOME_TRY(aCaller.mMaxQueue,
                    aMapping.Number("max_queue", 1, 1000000, 1000));
  return boost::outcome_v2::success();
}

result<void>
ReadRequest(const yaml_mapping& aMapping, manifest_request& aRequest)
{
  BOOST_OUTCOME_TRY(const std::size_t kind,
                    aMapping.Choice("kind", { "read", "write" }));
  aRequest.mKind = kind == 0 ? request_kind::Read : request_kind::Write;
  BOOST_OUTCOME_TRY(aRequest.mRepeatable, aMapping.Flag("repeatable", true));
  if (!aMapping.Has("max_age")) {
    return boost::outcome_v2::success();
  }
  if (aRequest.mKind == request_kind::Write) {
    return aMapping.ErrorAt("max_age", "Only a read may have 'max_age'.");
  }
  BOOST_OUTCOME_TRY(
    aRequest.mMaxAge,
    aMapping.Duration("max_age", milliseconds(1), milliseconds(86400000)));
  return boost::outcome_v2::success();
}

result<void>
ReadInstance(const yaml_mapping& aMapping,
             std::uint32_t aProxiesPerGroup,
             manifest_instance& aInstance)
{
  BOOST_OUTCOME_TRY(aInstance.mZone, aMapping.Text("zone"));
  BOOST_OUTCOME_TRY(aInstance.mAddress, aMapping.Text("address"));
  BOOST_OUTCOME_TRY(aInstance.mSlots, aMapping.Number("slots", 1, 10000));
  BOOST_OUTCOME_TRY(aInstance.mConnections,
                    aMapping.Number("connections", 1, 100000));
  if (aInstance.mConnections < kMinConnectionsPerProxy * aProxiesPerGroup) {
    return aMapping.ErrorAt(
      "connections",
      fmt::format("{} connections cannot be shared by {} proxies: each needs "
                  "{}. Allowed: {} or more.",
                  aInstance.mConnections,
                  aProxiesPerGroup,
                  kMinConnectionsPerProxy,
                  kMinConnectionsPerProxy * aProxiesPerGroup));
  }
  return boost::outcome_v2::success();
}

result<void>
ReadGroup(const yaml_mapping& aMapping,
          std::uint32_t aProxiesPerGroup,
          manifest_group& aGroup)
{
  BOOST_OUTCOME_TRY(
    const std::size_t policy,
    aMapping.Choice("acknowledge", { "confirmed", "primary" }, 0));
  aGroup.mAcknowledge =
    policy == 0 ? acknowledge_policy::Confirmed : acknowledge_policy::Primary;
  const auto readInstance = [aProxiesPerGroup](const yaml_mapping& aItem,
                                               manifest_instance& aInstance) {
    return ReadInstance(aItem, aProxiesPerGroup, aInstance);
  };
  BOOST_OUTCOME_TRY(aGroup.mInstances,
                    ReadRows<manifest_instance>(
                      aMapping,
                      "instances",
                      { "name", "zone", "address", "slots", "connections" },
                      readInstance));
  if (aGroup.mInstances.empty() ||
      aGroup.mInstances.size() > kMaxInstancesPerGroup) {
    return aMapping.ErrorAt("instances", "A group must have 1 to 9 instances.");
  }
  return boost::outcome_v2::success();
}

/// Number of instances in aFrom that aIn lacks, by name and address.
std::size_t
CountMissing(const std::vector<manifest_instance>& aFrom,
             const std::vector<manifest_instance>& aIn)
{
  return static_cast<std::size_t>(std::count_if(
    aFrom.begin(), aFrom.end(), [&](const manifest_instance& aInstance) {
      return std::none_of(
        aIn.begin(), aIn.end(), [&](const manifest_instance& aOther) {
          return aOther.mName == aInstance.mName &&
                 aOther.mAddress == aInstance.mAddress;
        });
    }));
}

} // namespace

result<manifest>
ReadManifest(const std::string& aFile, const std::string& aText)
{
  BOOST_OUTCOME_TRY(const YAML::Node document,
                    LoadYaml(aFile, aText, error_kind::BadManifest));
  BOOST_OUTCOME_TRY(
    const yaml_mapping root,
    yaml_mapping::FromNode(
      aFile,
      document,
      error_kind::BadManifest,
      { "format", "proxies", "callers", "requests", "groups" }));
  BOOST_OUTCOME_TRY(root.Number("format", kManifestFormat, kManifestFormat));
  manifest declared;
  BOOST_OUTCOME_TRY(declared.mProxies,
                    ReadRows<manifest_proxy>(
                      root, "proxies", { "name", "zone", "peer" }, ReadProxy));
  BOOST_OUTCOME_TRY(declared.mCallers,
                    ReadRows<manifest_caller>(
                      root,
                      "callers",
                      { "name", "weight", "max_in_flight", "max_queue" },
                      ReadCaller));
  BOOST_OUTCOME_TRY(
    declared.mRequests,
    ReadRows<manifest_request>(root,
                               "requests",
                               { "name", "kind", "max_age", "repeatable" },
                               ReadRequest));
  const auto proxies = static_cast<std::uint32_t>(declared.mProxies.size());
  BOOST_OUTCOME_TRY(
    declared.mGroups,
    ReadRows<manifest_group>(
      root,
      "groups",
      { "name", "acknowledge", "instances" },
      [proxies](const yaml_mapping& aItem, manifest_group& aGroup) {
        return ReadGroup(aItem, ProxiesPerGroup(proxies), aGroup);
      }));
  if (declared.mProxies.empty() || declared.mGroups.empty()) {
    return root.ErrorAt(
      "proxies",
      "A manifest must have one proxy or more and one group or more.");
  }
  return declared;
}

result<void>
CheckManifestStep(const manifest& aOld, const manifest& aNew)
{
  for (const manifest_group& group : aNew.mGroups) {
    const auto old = std::find_if(
      aOld.mGroups.begin(), aOld.mGroups.end(), [&](const auto& aGroup) {
        return aGroup.mName == group.mName;
      });
    if (old == aOld.mGroups.end()) {
      continue;
    }
    const std::size_t removed = CountMissing(old->mInstances, group.mInstances);
    const std::size_t added = CountMissing(group.mInstances, old->mInstances);
    if (removed + added > 1) {
      return error{ error_kind::BadManifest,
                    fmt::format(
                      "Group '{}' removes {} and adds {} instances "
                      "in one manifest. Add or remove one instance per "
                      "manifest, so that majorities overlap.",
                      group.mName,
                      removed,
                      added) };
    }
  }
  return boost::outcome_v2::success();
}

} // namespace catkinloom
