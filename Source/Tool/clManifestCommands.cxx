#include "clCommandFactories.h"
#include "clCommandOutput.h"
#include "clDaemonClient.h"
#include "clManifestCodec.h"
#include "clManifestReader.h"
#include "clYamlMapping.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>
#include <thread>

namespace catkinloom {

namespace json = boost::json;

namespace {

constexpr milliseconds kSubmitTimeout{ 30000 };

/// Polls for a submitted manifest: 10 s in all if the daemon responds at once.
constexpr milliseconds kInForcePollInterval{ 50 };
constexpr int kMaxInForcePolls = 200;

class manifest_check_command : public tool_command
{
public:
  std::string_view Name() const override { return "manifest check"; }
  std::string_view Summary() const override
  {
    return "Check a manifest file without contacting a daemon";
  }

  void AddOptions(cxxopts::Options& aOptions) const override
  {
    aOptions.add_options()(
      "file", "Manifest in YAML", cxxopts::value<std::string>());
  }

  exit_code Run(const cxxopts::ParseResult& aOptions) const override
  {
    const auto file = aOptions["file"].as<std::string>();
    const auto text = ReadFile(file, error_kind::BadManifest);
    if (!text) {
      return ReportError(text.error());
    }
    const auto declared = ReadManifest(file, text.value());
    if (!declared) {
      return ReportError(declared.error());
    }
    std::size_t largest = 0;
    for (const auto& [bucket, part] : EncodeManifest(declared.value())) {
      largest = std::max(largest, part.size());
    }
    const json::object summary{ { "file", file },
                                { "groups", declared.value().mGroups.size() },
                                { "proxies", declared.value().mProxies.size() },
                                { "largest_stored_bytes", largest } };
    if (aOptions.count("json") > 0) {
      fmt::print("{}\n", json::serialize(summary));
    } else {
      fmt::print("{}: ok, {} groups, {} proxies, largest stored part {} "
                 "bytes\n",
                 file,
                 declared.value().mGroups.size(),
                 declared.value().mProxies.size(),
                 largest);
    }
    return exit_code::Ok;
  }
};

class manifest_submit_command : public tool_command
{
public:
  std::string_view Name() const override { return "manifest submit"; }
  std::string_view Summary() const override
  {
    return "Submit a manifest and wait until it is in force";
  }

  void AddOptions(cxxopts::Options& aOptions) const override
  {
    aOptions.add_options()(
      "file", "Manifest in YAML", cxxopts::value<std::string>())(
      "expect",
      "Refuse unless this version is in force",
      cxxopts::value<std::uint64_t>());
  }

  exit_code Run(const cxxopts::ParseResult& aOptions) const override
  {
    const auto file = aOptions["file"].as<std::string>();
    const auto text = ReadFile(file, error_kind::BadManifest);
    if (!text) {
      return ReportError(text.error());
    }
    if (const auto checked = ReadManifest(file, text.value()); !checked) {
      return ReportError(checked.error());
    }
    const auto daemon = aOptions["daemon"].as<std::string>();
    std::string target = "/manifest";
    if (aOptions.count("expect") > 0) {
      target +=
        "?expect=" + std::to_string(aOptions["expect"].as<std::uint64_t>());
    }
    const auto response =
      CallDaemon(daemon,
                 MakeRequest(http::verb::post, target, text.value()),
                 kSubmitTimeout);
    if (!response) {
      return ReportError(response.error());
    }
    if (response.value().result_int() != 200) {
      PrintError(response.value().body());
      return exit_code::Refused;
    }
    json::error_code code;
    const json::value answer = json::parse(response.value().body(), code);
    const std::uint64_t version =
      code ? 0 : answer.at("version").to_number<std::uint64_t>();
    return WaitUntilInForce(daemon, version);
  }

private:
  /// Polls until the version is in force on every live proxy, or until the
  /// maximum number of polls.  Succeeds in both cases, since the manifest is
  /// already accepted.
  static exit_code WaitUntilInForce(const std::string& aDaemon,
                                    std::uint64_t aVersion)
  {
    for (int i = 0; i < kMaxInForcePolls; ++i) {
      const auto status = FetchDocument(aDaemon, "/status");
      if (status && IsInForce(status.value(), aVersion)) {
        fmt::print("accepted: version {} is in force on every live proxy\n",
                   aVersion);
        return exit_code::Ok;
      }
      std::this_thread::sleep_for(kInForcePollInterval);
    }
    fmt::print(
      "accepted: version {}; not yet in force on every live proxy, see "
      "`manifest status`\n",
      aVersion);
    return exit_code::Ok;
  }

  static bool IsInForce(const json::value& aStatus, std::uint64_t aVersion)
  {
    const json::object& self = aStatus.as_object();
    bool all =
      self.at("manifest_version").to_number<std::uint64_t>() >= aVersion;
    for (const json::value& peer : self.at("peers").as_array()) {
      all = all && (!peer.at("live").as_bool() ||
                    peer.at("manifest_version").to_number<std::uint64_t>() >=
                      aVersion);
    }
    return all;
  }
};

} // namespace

std::unique_ptr<tool_command>
MakeManifestCheckCommand()
{
  return std::make_unique<manifest_check_command>();
}

std::unique_ptr<tool_command>
MakeManifestSubmitCommand()
{
  return std::make_unique<manifest_submit_command>();
}

} // namespace catkinloom
