#include "clLog.h"

#include <array>
#include <cstdio>
#include <ctime>

namespace catkinloom {

namespace {

/// Pending bytes after which a line is written at once.
constexpr std::size_t kFlushBytes = 16384;

constexpr std::array<std::string_view, 5> kLevelNames{ "debug",
                                                       "decision",
                                                       "info",
                                                       "warning",
                                                       "error" };

std::string_view
NameOf(log_level aLevel)
{
  return kLevelNames[static_cast<std::size_t>(aLevel)];
}

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
                  std::string_view aPart,
                  std::string_view aText)
{
  fmt::format_to(std::back_inserter(mPending),
                 "{} {} {}: {}\n",
                 WallClockText(),
                 NameOf(aLevel),
                 aPart,
                 aText);
  if (aLevel >= log_level::Warning || mPending.size() >= kFlushBytes) {
    Flush();
  }
}

void
log_writer::Flush()
{
  if (mPending.empty()) {
    return;
  }
  fmt::print(stderr, "{}", mPending);
  std::fflush(stderr);
  mPending.clear();
}

} // namespace catkinloom
