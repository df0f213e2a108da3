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
  /// The daemon or the manifest said no.
  Refused = 1,
  Usage = 2,
  /// The daemon did not answer.
  Unreachable = 3,
  /// The request may or may not have run.
  OutcomeUnknown = 4,
};

/// One command of the tool.
class tool_command
{
public:
  virtual ~tool_command() = default;

  /// Words that name it, such as `manifest submit`.
  virtual std::string_view Name() const = 0;
  virtual std::string_view Summary() const = 0;

  /// Adds options beside --daemon, --json and --help.
  virtual void AddOptions(cxxopts::Options& aOptions) const = 0;

  virtual exit_code Run(const cxxopts::ParseResult& aOptions) const = 0;
};

/// Every command, in the order in which help lists them.
const std::vector<std::unique_ptr<tool_command>>&
ToolCommands();

} // namespace catkinloom
