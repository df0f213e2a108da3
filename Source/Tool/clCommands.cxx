#include "clCommand.h"

#include "clDaemonClient.h"
#include "clManifestCodec.h"
#include "clManifestReader.h"
#include "clTextTable.h"
#include "clYamlMapping.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <fmt/format.h>
#include <iostream>
#include <thread>

namespace catkinloom {

namespace json = boost::json;

namespace {

constexpr milliseconds kSubmitTimeout{ 30000 };
constexpr milliseconds kRequestTimeout{ 60000 };
constexpr milliseconds kInForcePause{ 50 };
constexpr int kInForceTries = 200;

void
PrintError(const std::string& aDetail)
{
  fmt::print(stderr, "catkinloom: {}\n", aDetail);
}

exit_code
ExitOf(const error& aError)
{
  PrintError(aError.mDetail);
  return aError.mKind == error_kind::UpstreamUnreachable
           ? exit_code::Unreachable
           : exit_code::Refused;
}

/// A JSON member as a person reads it.
std::string
Cell(const json::object& aRow, std::string_view aName)
{
  const json::value* value = aRow.if_contains(aName);
  if (value == nullptr) {
    return "-";
  }
  if (value->is_string()) {
    return value->get_string().empty() ? "-" : std::string(value->get_string());
  }
  return json::serialize(*value);
}

std::string
YesNo(const json::object& aRow, std::string_view aName)
{
  return Cell(aRow, aName) == "true" ? "yes" : "no";
}

/// A command that gets one document and shows it as a table or as JSON.
class document_command : public tool_command
{
public:
  void AddOptions(cxxopts::Options&) const override {}

  exit_code Run(const cxxopts::ParseResult& aOptions) const override
  {
    const auto document =
      GetDocument(aOptions["daemon"].as<std::string>(), Target(aOptions));
    if (!document) {
      return ExitOf(document.error());
    }
    if (aOptions.count("json") > 0) {
      fmt::print("{}\n", json::serialize(document.value()));
      return exit_code::Ok;
    }
    fmt::print("{}", Table(document.value()));
    return exit_code::Ok;
  }

protected:
  virtual std::string Target(const cxxopts::ParseResult& aOptions) const = 0;
  virtual std::string Table(const json::value& aDocument) const = 0;
};

class status_command : public document_command
{
public:
  std::string_view Name() const override { return "status"; }
  std::string_view Summary() const override
  {
    return "State of a daemon and of its peers";
  }

protected:
  std::string Target(const cxxopts::ParseResult&) const override
  {
    return "/status";
  }

  std::string Table(const json::value& aDocument) const override
  {
    const json::object& own = aDocument.as_object();
    text_table table({ "PROXY", "ZONE", "LIVE", "DRAINING", "MANIFEST" });
    table.Add({ Cell(own, "name"),
                Cell(own, "zone"),
                "yes",
                YesNo(own, "draining"),
                Cell(own, "manifest_version") });
    for (const json::value& item : own.at("peers").as_array()) {
      const json::object& peer = item.as_object();
      table.Add({ Cell(peer, "name"),
                  Cell(peer, "zone"),
                  YesNo(peer, "live"),
                  YesNo(peer, "draining"),
                  Cell(peer, "manifest_version") });
    }
    return table.Text();
  }
};

class manifest_status_command : public status_command
{
public:
  std::string_view Name() const override { return "manifest status"; }
  std::string_view Summary() const override
  {
    return "Manifest version in force on every proxy";
  }
};

class groups_command : public document_command
{
public:
  std::string_view Name() const override { return "groups"; }
  std::string_view Summary() const override
  {
    return "Database groups, their primaries and instances";
  }

protected:
  std::string Target(const cxxopts::ParseResult&) const override
  {
    return "/groups";
  }

  std::string Table(const json::value& aDocument) const override
  {
    text_table table({ "GROUP",
                       "INSTANCE",
                       "ZONE",
                       "ROLE",
                       "STATE",
                       "TERM",
                       "LOG",
                       "OPEN/SHARE",
                       "WAITING" });
    for (const json::value& item : aDocument.as_array()) {
      const json::object& group = item.as_object();
      for (const json::value& child : group.at("instances").as_array()) {
        const json::object& instance = child.as_object();
        table.Add(
          { Cell(group, "name"),
            Cell(instance, "name"),
            Cell(instance, "zone"),
            Cell(group, "primary") == Cell(instance, "name") ? "primary"
                                                             : "replica",
            Cell(instance, "state"),
            Cell(instance, "term"),
            Cell(instance, "log_term") + "." + Cell(instance, "log_index"),
            Cell(instance, "open") + "/" + Cell(instance, "share"),
            Cell(instance, "waiting") });
      }
    }
    return table.Text();
  }
};

class explain_command : public document_command
{
public:
  std::string_view Name() const override { return "explain"; }
  std::string_view Summary() const override
  {
    return "Which upstream a request would go to now, and why";
  }

  void AddOptions(cxxopts::Options& aOptions) const override
  {
    aOptions.add_options()(
      "group", "Database group", cxxopts::value<std::string>())(
      "request", "Declared request", cxxopts::value<std::string>())(
      "session",
      "Session token",
      cxxopts::value<std::string>()->default_value(""));
  }

protected:
  std::string Target(const cxxopts::ParseResult& aOptions) const override
  {
    return fmt::format("/explain?group={}&request={}&session={}",
                       EscapeTarget(aOptions["group"].as<std::string>()),
                       EscapeTarget(aOptions["request"].as<std::string>()),
                       EscapeTarget(aOptions["session"].as<std::string>()));
  }

  std::string Table(const json::value& aDocument) const override
  {
    const json::object& row = aDocument.as_object();
    text_table table(
      { "GROUP", "REQUEST", "KIND", "ACTION", "INSTANCE", "TERM", "REASON" });
    table.Add({ Cell(row, "group"),
                Cell(row, "request"),
                Cell(row, "kind"),
                Cell(row, "action"),
                Cell(row, "instance"),
                Cell(row, "term"),
                Cell(row, "reason") });
    return table.Text();
  }
};

class manifest_check_command : public tool_command
{
public:
  std::string_view Name() const override { return "manifest check"; }
  std::string_view Summary() const override
  {
    return "Check a manifest file without a daemon";
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
      return ExitOf(text.error());
    }
    const auto declared = ReadManifest(file, text.value());
    if (!declared) {
      return ExitOf(declared.error());
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
    return "Make a manifest the next version, and wait until it is in force";
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
      return ExitOf(text.error());
    }
    if (const auto checked = ReadManifest(file, text.value()); !checked) {
      return ExitOf(checked.error());
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
      return ExitOf(response.error());
    }
    if (response.value().result_int() != 200) {
      PrintError(response.value().body());
      return exit_code::Refused;
    }
    json::error_code code;
    const json::value answer = json::parse(response.value().body(), code);
    const std::uint64_t version =
      code ? 0 : answer.at("version").to_number<std::uint64_t>();
    return AwaitInForce(daemon, version);
  }

private:
  /// Waits until every live proxy has the version in force.
  static exit_code AwaitInForce(const std::string& aDaemon,
                                std::uint64_t aVersion)
  {
    for (int i = 0; i < kInForceTries; ++i) {
      const auto status = GetDocument(aDaemon, "/status");
      if (status && IsInForce(status.value(), aVersion)) {
        fmt::print("accepted: version {} is in force on every live proxy\n",
                   aVersion);
        return exit_code::Ok;
      }
      std::this_thread::sleep_for(kInForcePause);
    }
    fmt::print("accepted: version {}; not every proxy has it yet, see "
               "`manifest status`\n",
               aVersion);
    return exit_code::Ok;
  }

  static bool IsInForce(const json::value& aStatus, std::uint64_t aVersion)
  {
    const json::object& own = aStatus.as_object();
    bool all =
      own.at("manifest_version").to_number<std::uint64_t>() >= aVersion;
    for (const json::value& peer : own.at("peers").as_array()) {
      all = all && (!peer.at("live").as_bool() ||
                    peer.at("manifest_version").to_number<std::uint64_t>() >=
                      aVersion);
    }
    return all;
  }
};

class drain_command : public tool_command
{
public:
  std::string_view Name() const override { return "drain"; }
  std::string_view Summary() const override
  {
    return "Let a daemon finish its requests and stop";
  }
  void AddOptions(cxxopts::Options&) const override {}

  exit_code Run(const cxxopts::ParseResult& aOptions) const override
  {
    const auto response = CallDaemon(aOptions["daemon"].as<std::string>(),
                                     MakeRequest(http::verb::post, "/drain"),
                                     kSubmitTimeout);
    if (!response) {
      return ExitOf(response.error());
    }
    fmt::print("draining\n");
    return exit_code::Ok;
  }
};

class request_command : public tool_command
{
public:
  std::string_view Name() const override { return "request"; }
  std::string_view Summary() const override
  {
    return "Send one caller's request, for trying and for scripts";
  }

  void AddOptions(cxxopts::Options& aOptions) const override
  {
    aOptions.add_options()("caller-port",
                           "A daemon's callers' address as IP:port",
                           cxxopts::value<std::string>())(
      "group", "Database group", cxxopts::value<std::string>())(
      "request", "Declared request", cxxopts::value<std::string>())(
      "body", "Statements in JSON", cxxopts::value<std::string>())(
      "session",
      "Session token",
      cxxopts::value<std::string>()->default_value("new"))(
      "key",
      "Idempotency key",
      cxxopts::value<std::string>()->default_value(""))(
      "caller", "Class", cxxopts::value<std::string>()->default_value(""))(
      "deadline-ms",
      "Deadline",
      cxxopts::value<unsigned>()->default_value("3000"));
  }

  exit_code Run(const cxxopts::ParseResult& aOptions) const override
  {
    http_request request =
      MakeRequest(http::verb::post,
                  "/v1/" + EscapeTarget(aOptions["group"].as<std::string>()) +
                    "/" + EscapeTarget(aOptions["request"].as<std::string>()),
                  aOptions["body"].as<std::string>());
    SetHeader(request, header::kSession, aOptions["session"].as<std::string>());
    SetHeader(request,
              header::kDeadline,
              std::to_string(aOptions["deadline-ms"].as<unsigned>()));
    if (!aOptions["key"].as<std::string>().empty()) {
      SetHeader(
        request, header::kIdempotencyKey, aOptions["key"].as<std::string>());
    }
    if (!aOptions["caller"].as<std::string>().empty()) {
      SetHeader(request, header::kCaller, aOptions["caller"].as<std::string>());
    }
    const auto response = CallDaemon(
      aOptions["caller-port"].as<std::string>(), request, kRequestTimeout);
    if (!response) {
      return ExitOf(response.error());
    }
    Print(response.value(), aOptions.count("json") > 0);
    const std::string_view outcome =
      HeaderOf(response.value(), header::kOutcome);
    if (outcome == OutcomeName(request_outcome::Unknown)) {
      return exit_code::OutcomeUnknown;
    }
    return outcome == OutcomeName(request_outcome::Done) ? exit_code::Ok
                                                         : exit_code::Refused;
  }

private:
  static void Print(const http_response& aResponse, bool aJson)
  {
    const std::string_view outcome = HeaderOf(aResponse, header::kOutcome);
    const std::string_view upstream = HeaderOf(aResponse, header::kUpstream);
    const std::string_view session = HeaderOf(aResponse, header::kSession);
    if (aJson) {
      const json::object summary{ { "outcome", outcome },
                                  { "upstream", upstream },
                                  { "session", session },
                                  { "status", aResponse.result_int() },
                                  { "body", aResponse.body() } };
      fmt::print("{}\n", json::serialize(summary));
      return;
    }
    fmt::print("outcome: {}\nupstream: {}\nsession: {}\n{}\n",
               outcome,
               upstream.empty() ? "-" : upstream,
               session.empty() ? "-" : session,
               aResponse.body());
  }
};

std::vector<std::unique_ptr<tool_command>>
MakeCommands()
{
  std::vector<std::unique_ptr<tool_command>> commands;
  commands.push_back(std::make_unique<manifest_check_command>());
  commands.push_back(std::make_unique<manifest_submit_command>());
  commands.push_back(std::make_unique<manifest_status_command>());
  commands.push_back(std::make_unique<groups_command>());
  commands.push_back(std::make_unique<status_command>());
  commands.push_back(std::make_unique<explain_command>());
  commands.push_back(std::make_unique<request_command>());
  commands.push_back(std::make_unique<drain_command>());
  return commands;
}

} // namespace

const std::vector<std::unique_ptr<tool_command>>&
ToolCommands()
{
  static const auto kCommands = MakeCommands();
  return kCommands;
}

} // namespace catkinloom
