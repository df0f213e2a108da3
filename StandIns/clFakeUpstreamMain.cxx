#include "clFakeUpstream.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

namespace {

/// Parses NAME=IP:port pairs.
std::map<std::string, std::string>
ReadPeers(const std::vector<std::string>& aPairs)
{
  std::map<std::string, std::string> peers;
  for (const std::string& pair : aPairs) {
    const std::size_t equals = pair.find('=');
    peers[pair.substr(0, equals)] = pair.substr(equals + 1);
  }
  return peers;
}

} // namespace

int
main(int argc, char** argv)
{
  cxxopts::Options options("catkinloom-fake-upstream",
                           "Simulates one instance of a database group.");
  options.add_options()(
    "name", "Name of this instance", cxxopts::value<std::string>())(
    "peer",
    "NAME=IP:port of each instance, this one included",
    cxxopts::value<std::vector<std::string>>())(
    "slots",
    "Statements that run at the same time",
    cxxopts::value<unsigned>()->default_value("3"))(
    "connections",
    "Maximum number of proxy connections",
    cxxopts::value<unsigned>()->default_value("20"))(
    "connection-cost-ms",
    "Delay of a new proxy connection, in ms",
    cxxopts::value<unsigned>()->default_value("10"))(
    "service-us",
    "Run time of a list of statements, in microseconds",
    cxxopts::value<unsigned>()->default_value("2000"))(
    "journal",
    "File that stores log and term across restarts; none if empty",
    cxxopts::value<std::string>()->default_value(""))(
    "lag-ms",
    "Replication lag in ms",
    cxxopts::value<unsigned>()->default_value("0"));
  const auto parsed = options.parse(argc, argv);
  catkinloom::fake_upstream_settings settings;
  settings.mName = parsed["name"].as<std::string>();
  settings.mPeers = ReadPeers(parsed["peer"].as<std::vector<std::string>>());
  settings.mSlots = parsed["slots"].as<unsigned>();
  settings.mConnections = parsed["connections"].as<unsigned>();
  settings.mConnectionCost =
    catkinloom::milliseconds(parsed["connection-cost-ms"].as<unsigned>());
  settings.mServiceTime =
    std::chrono::microseconds(parsed["service-us"].as<unsigned>());
  settings.mReplicationLag =
    catkinloom::milliseconds(parsed["lag-ms"].as<unsigned>());
  settings.mJournal = parsed["journal"].as<std::string>();
  catkinloom::event_loop loop;
  const std::string address = settings.mPeers[settings.mName];
  catkinloom::fake_upstream upstream(loop, settings);
  if (const auto listening = upstream.Listen(address); !listening) {
    fmt::print(
      stderr, "catkinloom-fake-upstream: {}\n", listening.error().mDetail);
    return 1;
  }
  loop.Run();
  return 0;
}
