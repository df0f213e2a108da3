#pragma once

#include <cstdint>
#include <fmt/format.h>
#include <string>
#include <string_view>

namespace catkinloom {

/// Log levels, most verbose first.
enum class log_level
{
  Debug,
  /// One line per routing or placement decision.
  Decision,
  Info,
  Warning,
  Error,
};

/// Writes log lines to standard output: UTC time of day, level and area, one
/// short sentence, then key=value pairs.  Lines are buffered until Flush, so
/// that a busy daemon does not make one system call per line.  Never blocks:
/// when the output is not read fast enough, lines are dropped and counted.
class log_writer
{
public:
  /// The process-wide instance.
  static log_writer& Instance();

  /// Parses the name of a level.  Returns false when the name is unknown.
  static bool ParseLevel(std::string_view aName, log_level& aLevel);

  void SetLevel(log_level aLevel) { mLevel = aLevel; }
  bool IsEnabled(log_level aLevel) const { return aLevel >= mLevel; }
  void Write(log_level aLevel, std::string_view aArea, std::string_view aText);
  void Flush();

private:
  log_level mLevel = log_level::Info;
  std::string mPending;
  std::uint64_t mDroppedLines = 0;
};

/// Formats and writes one line if its level is enabled.
template<class... Args>
void
Log(log_level aLevel,
    std::string_view aArea,
    fmt::format_string<Args...> aFormat,
    Args&&... aArgs)
{
  log_writer& writer = log_writer::Instance();
  if (writer.IsEnabled(aLevel)) {
    writer.Write(
      aLevel, aArea, fmt::format(aFormat, std::forward<Args>(aArgs)...));
  }
}

} // namespace catkinloom
