#pragma once

#include <chrono>

namespace catkinloom {

/// Tag type of the time line that every decision uses.
///
/// The daemon's clock counts time during which the VM was suspended, so that
/// a lease that lapsed while the holder slept is seen as lapsed.
struct boot_time_clock
{
  using rep = std::int64_t;
  using period = std::nano;
  using duration = std::chrono::nanoseconds;
  using time_point = std::chrono::time_point<boot_time_clock>;
};

using time_point = boot_time_clock::time_point;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

/// Source of the current time.  Decisions never read a clock of their own.
class clock_source
{
public:
  virtual ~clock_source() = default;

  /// The present moment on the boot time line.
  virtual time_point Now() const = 0;
};

} // namespace catkinloom
