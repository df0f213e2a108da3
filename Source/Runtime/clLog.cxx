#include "clLog.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <climits>
#include <ctime>
#include <iterator>
#include <poll.h>
#include <unistd.h>

namespace catkinloom {

namespace {

/// Number of pending bytes that triggers a flush.
constexpr std::size_t kFlushThresholdBytes = 16384;

/// Number of pending bytes above which lines are dropped because standard
/// output is not read fast enough.
constexpr std::size_t kMaxPendingBytes = 262144;

constexpr std::array<std::string_view, 5> kLevelNames{ "debug",
                                                       "decision",
                                                       "info",
                                                       "warning",
                                                       "error" };

std::string_view
LevelName(log_level aLevel)
{
  return kLevelNames[static_cast<std::size_t>(aLevel)];
}

/// UTC time of day with milliseconds.
std::string
WallClockText()
{
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  tm parts{};
  gmtime_r(&now.tv_sec, &parts);
  return fmt::format("{:02}:{:02}:{:02}.{:03}",
                     parts.tm_hour,
                     parts.tm_min,
                     parts.tm_sec,
                     now.tv_nsec / 1000000);
}

} // namespace

log_writer&
log_writer::Instance()
{
  static log_writer sWriter;
  return sWriter;
}

bool
log_writer::ParseLevel(std::string_view aName, log_level& aLevel)
{
  for (std::size_t i = 0; i < kLevelNames.size(); ++i) {
    if (kLevelNames[i] == aName) {
      aLevel = static_cast<log_level>(i);
      return true;
    }
  }
  return false;
}

void
log_writer::Write(log_level aLevel,
                  std::string_view aArea,
                  std::string_view aText)
{
  if (mPending.size() > kMaxPendingBytes) {
    ++mDroppedLines;
    return;
  }
  fmt::format_to(std::back_inserter(mPending),
                 "{} {} {}: ",
                 WallClockText(),
                 LevelName(aLevel),
                 aArea);
  // Texts from outside may contain line breaks and escape sequences.
  std::replace_copy_if(
    aText.begin(),
    aText.end(),
    std::back_inserter(mPending),
    [](unsigned char aByte) { return std::iscntrl(aByte) != 0; },
    '?');
  mPending += '\n';
  if (aLevel >= log_level::Warning || mPending.size() >= kFlushThresholdBytes) {
    Flush();
  }
}

void
log_writer::Flush()
{
  if (mPending.empty()) {
    return;
  }
  // Write only when the output is ready, so that a stalled reader of the pipe
  // or terminal never blocks the process.
  pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
  if (::poll(&output, 1, 0) < 1 || (output.revents & POLLOUT) == 0) {
    return;
  }
  // A pipe that poll reports as writable accepts PIPE_BUF bytes without
  // blocking.
  const std::size_t chunk = std::min<std::size_t>(mPending.size(), PIPE_BUF);
  const auto written = ::write(STDOUT_FILENO, mPending.data(), chunk);
  if (written <= 0) {
    return;
  }
  mPending.erase(0, static_cast<std::size_t>(written));
  if (mDroppedLines > 0 && mPending.size() < kFlushThresholdBytes) {
    const std::uint64_t dropped = mDroppedLines;
    mDroppedLines = 0;
    Write(log_level::Info,
          "log",
          fmt::format(
            "Log lines dropped; standard output was not read in time. lines={}",
            dropped));
  }
  if (!mPending.empty()) {
    Flush();
  }
}

} // namespace catkinloom
