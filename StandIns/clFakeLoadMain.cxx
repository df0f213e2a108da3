#include "clEventLoop.h"
#include "clHttpClient.h"

#include <algorithm>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <memory>
#include <vector>

namespace {

using namespace catkinloom;

/// Request counts of one load run.
struct load_totals
{
  std::uint64_t mSuccesses = 0;
  std::uint64_t mFailures = 0;
  unsigned mRunningCallers = 0;
};

/// Sends the same request repeatedly over one connection until aEnd;
/// reconnects when the connection fails.
void
RunCaller(event_loop& aLoop,
          const cxxopts::ParseResult& aOptions,
          time_point aEnd,
          load_totals& aTotals)
{
  const auto address = aOptions["address"].as<std::string>();
  http_request request = MakeRequest(http::verb::post,
                                     aOptions["target"].as<std::string>(),
                                     aOptions["body"].as<std::string>());
  for (const std::string& pair :
       aOptions["header"].as<std::vector<std::string>>()) {
    const std::size_t equals = pair.find('=');
    SetHeader(request, pair.substr(0, equals), pair.substr(equals + 1));
  }
  http_client_connection connection(aLoop);
  while (aLoop.Clock().Now() < aEnd) {
    if (!connection.IsOpen() &&
        !connection.Connect(address, milliseconds(1000))) {
      ++aTotals.mFailures;
      aLoop.Sleep(milliseconds(10));
      continue;
    }
    const exchange_result outcome =
      connection.Exchange(request, milliseconds(5000));
    const bool ok = outcome.IsOk() && outcome.mResponse.result_int() == 200;
    (ok ? aTotals.mSuccesses : aTotals.mFailures) += 1;
  }
  --aTotals.mRunningCallers;
}

/// Opens connections that send nothing, prints how many were accepted and
/// keeps them open for the configured duration.
void
HoldIdleConnections(event_loop& aLoop, const cxxopts::ParseResult& aOptions)
{
  const auto address = aOptions["address"].as<std::string>();
  std::vector<std::unique_ptr<http_client_connection>> idle;
  for (unsigned i = 0; i < aOptions["idle"].as<unsigned>(); ++i) {
    idle.push_back(std::make_unique<http_client_connection>(aLoop));
    if (!idle.back()->Connect(address, milliseconds(1000))) {
      idle.pop_back();
    }
  }
  fmt::print("{}\n", idle.size());
  std::fflush(stdout);
  aLoop.Sleep(std::chrono::seconds(aOptions["seconds"].as<unsigned>()));
}

} // namespace

int
main(int argc, char** argv)
{
  cxxopts::Options options(
    "catkinloom-fake-load",
    "Load generator: sends requests over many connections.");
  options.add_options()(
    "address", "IP:port to connect to", cxxopts::value<std::string>())(
    "target",
    "Request target",
    cxxopts::value<std::string>()->default_value("/"))(
    "body", "Request body", cxxopts::value<std::string>()->default_value(""))(
    "header",
    "NAME=VALUE of a request header",
    cxxopts::value<std::vector<std::string>>()->default_value("X-Load=1"))(
    "callers",
    "Connections that send requests",
    cxxopts::value<unsigned>()->default_value("8"))(
    "idle",
    "Number of idle connections to open instead of sending requests",
    cxxopts::value<unsigned>()->default_value("0"))(
    "seconds",
    "Duration in seconds",
    cxxopts::value<unsigned>()->default_value("3"));
  const auto parsed = options.parse(argc, argv);
  event_loop loop;
  load_totals totals;
  const time_point end =
    loop.Clock().Now() + std::chrono::seconds(parsed["seconds"].as<unsigned>());
  if (parsed["idle"].as<unsigned>() > 0) {
    loop.Spawn([&] {
      HoldIdleConnections(loop, parsed);
      loop.Stop();
    });
    loop.Run();
    return 0;
  }
  totals.mRunningCallers = parsed["callers"].as<unsigned>();
  for (unsigned i = 0; i < parsed["callers"].as<unsigned>(); ++i) {
    loop.Spawn([&] {
      RunCaller(loop, parsed, end, totals);
      if (totals.mRunningCallers == 0) {
        loop.Stop();
      }
    });
  }
  loop.Run();
  const double seconds = parsed["seconds"].as<unsigned>();
  fmt::print("{:.0f} {} {}\n",
             static_cast<double>(totals.mSuccesses) / seconds,
             totals.mSuccesses,
             totals.mFailures);
  return 0;
}
