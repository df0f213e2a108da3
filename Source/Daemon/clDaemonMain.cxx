/// Entry point of catkinloomd, which runs on each entry VM.

#include "clDaemon.h"
#include "clLog.h"
#include "clYamlMapping.h"

#include <boost/asio/signal_set.hpp>
#include <cstdlib>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <random>

namespace {

using namespace catkinloom;

constexpr int kExitOk = 0;
constexpr int kExitUsage = 2;
constexpr int kExitSettings = 3;

int
RunDaemon(const daemon_settings& aSettings)
{
  log_level level = log_level::Decision;
  log_writer::ParseLevel(aSettings.mLogLevel, level);
  log_writer::Instance().SetLevel(level);
  std::random_device random;
  const std::string identity =
    fmt::format("{}-{:08x}{:08x}", aSettings.mName, random(), random());
  event_loop loop;
  daemon_process daemon(loop, aSettings, identity);
  if (const auto started = daemon.Start(); !started) {
    fmt::print(stderr, "catkinloomd: {}\n", started.error().mDetail);
    return kExitSettings;
  }
  boost::asio::signal_set signals(loop.Context(), SIGTERM, SIGINT);
  signals.async_wait(
    [&daemon](const boost::system::error_code&, int) { daemon.Drain(); });
  loop.Run();
  // Some fibers still wait for events that no longer occur. quick_exit skips
  // their destruction; the operating system reclaims their resources.
  std::quick_exit(kExitOk);
}

} // namespace

int
main(int argc, char** argv)
{
  cxxopts::Options options(
    "catkinloomd",
    "Database proxy with session consistency; runs on each entry VM.\n"
    "Exit codes: 0 drained, 2 invalid usage, 3 invalid settings.");
  options.add_options()(
    "settings", "Settings file in YAML", cxxopts::value<std::string>())(
    "check", "Check the settings file and exit")("help", "Show this help");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      fmt::print("{}\n", options.help());
      return kExitOk;
    }
    if (parsed.count("settings") == 0) {
      fmt::print(
        stderr,
        "catkinloomd: option --settings FILE is required; see --help\n");
      return kExitUsage;
    }
    const auto file = parsed["settings"].as<std::string>();
    const auto text = ReadFile(file, error_kind::BadSettings);
    const auto settings = text ? ReadDaemonSettings(file, text.value())
                               : result<daemon_settings>(text.error());
    if (!settings) {
      fmt::print(stderr, "catkinloomd: {}\n", settings.error().mDetail);
      return kExitSettings;
    }
    if (parsed.count("check") > 0) {
      fmt::print("{}: ok\n", file);
      return kExitOk;
    }
    return RunDaemon(settings.value());
  } catch (const cxxopts::exceptions::exception& failure) {
    fmt::print(stderr, "catkinloomd: {}; see --help\n", failure.what());
    return kExitUsage;
  }
}
