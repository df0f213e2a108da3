#pragma once

#include <chrono>

namespace catkinloom {

/// Clock type of all time points that decisions use.
///
/// The daemon's clock counts time during which the VM was suspended, so that a
/// lease that expired during a suspension is seen as expired.
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

/// Source of the current time. Decisions never read a clock directly.
class clock_source
{
public:
  virtual ~clock_source() = default;

  /// Current time of the boot-time clock.
  virtual time_point Now() const = 0;
};

} // namespace catkinloom
