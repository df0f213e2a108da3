/// The catkinloom command-line tool.

#include "clCommand.h"
#include "clNearestName.h"

#include <fmt/format.h>

namespace {

using namespace catkinloom;

constexpr std::string_view kDefaultDaemon = "127.0.0.1:7201";

void
PrintHelp()
{
  fmt::print("Usage: catkinloom COMMAND [OPTIONS]\n\nCommands:\n");
  for (const auto& command : ToolCommands()) {
    fmt::print("  {:<16} {}\n", command->Name(), command->Summary());
  }
  fmt::print("\nEach command takes --daemon IP:port (the operator port, "
             "default {}),\n--json and --help.\n\nExit codes: 0 done, 1 "
             "refused, 2 wrong usage, 3 daemon unreachable,\n4 the request "
             "may or may not have been executed.\n",
             kDefaultDaemon);
}

int
ReportUnknownCommand(const std::string& aArguments)
{
  std::vector<std::string_view> names;
  for (const auto& command : ToolCommands()) {
    names.push_back(command->Name());
  }
  fmt::print(stderr,
             "catkinloom: unknown command '{}'.{} See catkinloom --help.\n",
             aArguments,
             NearestNameHint(aArguments, names));
  return static_cast<int>(exit_code::Usage);
}

int
RunCommand(const tool_command& aCommand, int aCount, char** aArguments)
{
  cxxopts::Options options("catkinloom " + std::string(aCommand.Name()),
                           std::string(aCommand.Summary()));
  options.add_options()(
    "daemon",
    "Address of a daemon's operator port as IP:port",
    cxxopts::value<std::string>()->default_value(std::string(kDefaultDaemon)))(
    "json", "Print JSON")("help", "Show this help");
  aCommand.AddOptions(options);
  try {
    if (aCommand.Name().starts_with("manifest ")) {
      options.parse_positional({ "file" });
      options.positional_help("FILE");
    }
    const auto parsed = options.parse(aCount, aArguments);
    if (parsed.count("help") > 0) {
      fmt::print("{}\n", options.help());
      return static_cast<int>(exit_code::Ok);
    }
    return static_cast<int>(aCommand.Run(parsed));
  } catch (const cxxopts::exceptions::exception& failure) {
    fmt::print(stderr,
               "catkinloom: {}. See catkinloom {} --help.\n",
               failure.what(),
               aCommand.Name());
    return static_cast<int>(exit_code::Usage);
  }
}

} // namespace

int
main(int argc, char** argv)
{
  if (argc < 2 || std::string_view(argv[1]) == "--help") {
    PrintHelp();
    return static_cast<int>(argc < 2 ? exit_code::Usage : exit_code::Ok);
  }
  const std::string oneWord = argv[1];
  const std::string twoWords =
    argc > 2 && argv[2][0] != '-' ? oneWord + " " + argv[2] : oneWord;
  for (const auto& command : ToolCommands()) {
    if (command->Name() == twoWords && twoWords != oneWord) {
      return RunCommand(*command, argc - 2, argv + 2);
    }
    if (command->Name() == oneWord) {
      return RunCommand(*command, argc - 1, argv + 1);
    }
  }
  return ReportUnknownCommand(twoWords);
}
