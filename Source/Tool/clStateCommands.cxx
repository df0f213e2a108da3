#include "clCommandFactories.h"
#include "clCommandOutput.h"
#include "clDaemonClient.h"
#include "clTextTable.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

namespace catkinloom {

namespace json = boost::json;

namespace {

/// A command that fetches one document and prints it as a table or as JSON.
class document_command : public tool_command
{
public:
  void AddOptions(cxxopts::Options&) const override {}

  exit_code Run(const cxxopts::ParseResult& aOptions) const override
  {
    const auto document =
      FetchDocument(aOptions["daemon"].as<std::string>(), Target(aOptions));
    if (!document) {
      return ReportError(document.error());
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
    return "Show the state of a daemon and its peers";
  }

protected:
  std::string Target(const cxxopts::ParseResult&) const override
  {
    return "/status";
  }

  std::string Table(const json::value& aDocument) const override
  {
    const json::object& self = aDocument.as_object();
    text_table table({ "PROXY", "ZONE", "LIVE", "DRAINING", "MANIFEST" });
    table.AddRow({ FormatCell(self, "name"),
                   FormatCell(self, "zone"),
                   "yes",
                   FormatYesNo(self, "draining"),
                   FormatCell(self, "manifest_version") });
    for (const json::value& item : self.at("peers").as_array()) {
      const json::object& peer = item.as_object();
      table.AddRow({ FormatCell(peer, "name"),
                     FormatCell(peer, "zone"),
                     FormatYesNo(peer, "live"),
                     FormatYesNo(peer, "draining"),
                     FormatCell(peer, "manifest_version") });
    }
    return table.Render();
  }
};

class manifest_status_command : public status_command
{
public:
  std::string_view Name() const override { return "manifest status"; }
  std::string_view Summary() const override
  {
    return "Show the manifest version in force on each proxy";
  }
};

class groups_command : public document_command
{
public:
  std::string_view Name() const override { return "groups"; }
  std::string_view Summary() const override
  {
    return "Show database groups, their primaries and instances";
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
        table.AddRow(
          { FormatCell(group, "name"),
            FormatCell(instance, "name"),
            FormatCell(instance, "zone"),
            FormatCell(group, "primary") == FormatCell(instance, "name")
              ? "primary"
              : "replica",
            FormatCell(instance, "state"),
            FormatCell(instance, "term"),
            FormatCell(instance, "log_term") + "." +
              FormatCell(instance, "log_index"),
            FormatCell(instance, "open") + "/" + FormatCell(instance, "share"),
            FormatCell(instance, "waiting") });
      }
    }
    return table.Render();
  }
};

class explain_command : public document_command
{
public:
  std::string_view Name() const override { return "explain"; }
  std::string_view Summary() const override
  {
    return "Show where a request would be routed now, and why";
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
                       PercentEncode(aOptions["group"].as<std::string>()),
                       PercentEncode(aOptions["request"].as<std::string>()),
                       PercentEncode(aOptions["session"].as<std::string>()));
  }

  std::string Table(const json::value& aDocument) const override
  {
    const json::object& row = aDocument.as_object();
    text_table table(
      { "GROUP", "REQUEST", "KIND", "ACTION", "INSTANCE", "TERM", "REASON" });
    table.AddRow({ FormatCell(row, "group"),
                   FormatCell(row, "request"),
                   FormatCell(row, "kind"),
                   FormatCell(row, "action"),
                   FormatCell(row, "instance"),
                   FormatCell(row, "term"),
                   FormatCell(row, "reason") });
    return table.Render();
  }
};

} // namespace

std::unique_ptr<tool_command>
MakeStatusCommand()
{
  return std::make_unique<status_command>();
}

std::unique_ptr<tool_command>
MakeManifestStatusCommand()
{
  return std::make_unique<manifest_status_command>();
}

std::unique_ptr<tool_command>
MakeGroupsCommand()
{
  return std::make_unique<groups_command>();
}

std::unique_ptr<tool_command>
MakeExplainCommand()
{
  return std::make_unique<explain_command>();
}

} // namespace catkinloom
