#include "clManifestReader.h"

#include <doctest/doctest.h>

using namespace catkinloom;

namespace {

const std::string kProxies =
  "format: 1\n"
  "proxies:\n"
  "  - {name: proxy-1, zone: tanta, peer: '127.0.0.1:7301'}\n"
  "requests:\n"
  "  - {name: log-fault, kind: write, repeatable: false}\n"
  "  - {name: open-list, kind: read, max_age: 2s}\n";

std::string
GroupText(const std::string& aName, const std::string& aInstance)
{
  return "  - name: " + aName + "\n    instances:\n      - " + aInstance + "\n";
}

const std::string kInstance =
  "{name: a, zone: tanta, address: '127.0.0.1:9001', slots: 3, "
  "connections: 20}";

std::string
ErrorDetailOf(const std::string& aText)
{
  const auto declared = ReadManifest("m.yaml", aText);
  REQUIRE_FALSE(declared.has_value());
  CHECK(declared.error().mKind == error_kind::BadManifest);
  return declared.error().mDetail;
}

manifest
WithInstances(std::initializer_list<const char*> aNames)
{
  manifest declared;
  declared.mGroups.push_back({ "g", acknowledge_policy::Confirmed, {} });
  for (const char* name : aNames) {
    declared.mGroups[0].mInstances.push_back({ name, "z", "x", 3, 20 });
  }
  return declared;
}

} // namespace

TEST_CASE("manifest_valid_file_is_read")
{
  const auto declared = ReadManifest(
    "m.yaml", kProxies + "groups:\n" + GroupText("faults-1", kInstance));
  REQUIRE(declared.has_value());
  CHECK_FALSE(declared.value().mRequests[0].mRepeatable);
  CHECK(declared.value().mRequests[1].mMaxAge == milliseconds(2000));
  CHECK(declared.value().mGroups[0].mInstances[0].mConnections == 20);
}

TEST_CASE("manifest_duplicate_group_name_is_rejected")
{
  CHECK(ErrorDetailOf(kProxies + "groups:\n" + GroupText("g", kInstance) +
                      GroupText("g", kInstance)) ==
        "m.yaml:11:11: Name 'g' is taken already.");
}

TEST_CASE("manifest_connections_below_minimum_per_proxy_are_rejected")
{
  const std::string few =
    "{name: a, zone: z, address: 'x', slots: 1, connections: 1}";
  CHECK(ErrorDetailOf(kProxies + "groups:\n" + GroupText("g", few))
          .find("Allowed: 2 or more.") != std::string::npos);
}

TEST_CASE("manifest_max_age_of_write_is_rejected")
{
  CHECK(ErrorDetailOf("format: 1\nrequests:\n"
                      "  - {name: w, kind: write, max_age: 1s}\n") ==
        "m.yaml:3:37: Only a read may have 'max_age'.");
}

TEST_CASE("manifest_without_groups_is_rejected")
{
  CHECK(ErrorDetailOf(kProxies).find("one group or more") != std::string::npos);
}

TEST_CASE("manifest_with_unsupported_format_is_rejected")
{
  CHECK(ErrorDetailOf("format: 2\n").find("whole numbers from 1 to 1") !=
        std::string::npos);
}

TEST_CASE("manifest_name_with_space_is_rejected")
{
  CHECK(ErrorDetailOf(kProxies + "groups:\n" + GroupText("a b", kInstance))
          .find("is not a name") != std::string::npos);
}

TEST_CASE("manifest_change_of_two_instances_is_rejected")
{
  const manifest old = WithInstances({ "a", "b", "c" });
  CHECK(CheckManifestStep(old, WithInstances({ "a", "b" })).has_value());
  CHECK(
    CheckManifestStep(old, WithInstances({ "a", "b", "c", "d" })).has_value());
  CHECK_FALSE(
    CheckManifestStep(old, WithInstances({ "a", "b", "d" })).has_value());
  CHECK_FALSE(CheckManifestStep(old, WithInstances({ "a" })).has_value());
}
