#include "clCommandFactories.h"
#include "clCommandOutput.h"
#include "clDaemonClient.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

namespace catkinloom {

namespace json = boost::json;

namespace {

constexpr milliseconds kDrainTimeout{ 30000 };
constexpr milliseconds kRequestTimeout{ 60000 };

class drain_command : public tool_command
{
public:
  std::string_view Name() const override { return "drain"; }
  std::string_view Summary() const override
  {
    return "Finish a daemon's running requests, then stop it";
  }
  void AddOptions(cxxopts::Options&) const override {}

  exit_code Run(const cxxopts::ParseResult& aOptions) const override
  {
    const auto response = CallDaemon(aOptions["daemon"].as<std::string>(),
                                     MakeRequest(http::verb::post, "/drain"),
                                     kDrainTimeout);
    if (!response) {
      return ReportError(response.error());
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
    return "Send a request to a caller port, for tests and scripts";
  }

  void AddOptions(cxxopts::Options& aOptions) const override
  {
    aOptions.add_options()("caller-port",
                           "Address of a daemon's caller port as IP:port",
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
                  "/v1/" + PercentEncode(aOptions["group"].as<std::string>()) +
                    "/" + PercentEncode(aOptions["request"].as<std::string>()),
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
      return ReportError(response.error());
    }
    Print(response.value(), aOptions.count("json") > 0);
    const std::string_view outcome =
      GetHeader(response.value(), header::kOutcome);
    if (outcome == OutcomeName(request_outcome::Unknown)) {
      return exit_code::OutcomeUnknown;
    }
    return outcome == OutcomeName(request_outcome::Done) ? exit_code::Ok
                                                         : exit_code::Refused;
  }

private:
  static void Print(const http_response& aResponse, bool aJson)
  {
    const std::string_view outcome = GetHeader(aResponse, header::kOutcome);
    const std::string_view upstream = GetHeader(aResponse, header::kUpstream);
    const std::string_view session = GetHeader(aResponse, header::kSession);
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

} // namespace

std::unique_ptr<tool_command>
MakeRequestCommand()
{
  return std::make_unique<request_command>();
}

std::unique_ptr<tool_command>
MakeDrainCommand()
{
  return std::make_unique<drain_command>();
}

} // namespace catkinloom
