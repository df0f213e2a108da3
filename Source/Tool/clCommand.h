#pragma once

#include "clError.h"

#include <boost/json/value.hpp>
#include <cxxopts.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloom {

/// Exit codes of the command-line tool.
enum class exit_code
{
  Ok = 0,
  /// The daemon rejected the request, or a file failed validation.
  Refused = 1,
  Usage = 2,
  /// No response from the daemon.
  Unreachable = 3,
  /// No final outcome is known; the request may have been executed.
  OutcomeUnknown = 4,
};

/// A subcommand of the tool.
class tool_command
{
public:
  virtual ~tool_command() = default;

  /// One or two words, such as `drain` or `manifest submit`.
  virtual std::string_view Name() const = 0;
  virtual std::string_view Summary() const = 0;

  /// Adds options besides --daemon, --json and --help.
  virtual void AddOptions(cxxopts::Options& aOptions) const = 0;

  virtual exit_code Run(const cxxopts::ParseResult& aOptions) const = 0;
};

/// All commands in the order of the help text.
const std::vector<std::unique_ptr<tool_command>>&
ToolCommands();

} // namespace catkinloom
