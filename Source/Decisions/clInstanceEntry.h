#pragma once

#include <cstdint>
#include <string>

namespace catkinloom {

/// Directory entry that an upstream instance publishes about itself.
struct instance_entry
{
  std::string mId;
  std::string mService;
  /// Address as IP:port.
  std::string mAddress;
  std::string mZone;
  /// Statements that it executes concurrently.
  std::uint32_t mSlots = 1;
  /// It is leaving and accepts no new work.
  bool mDraining = false;
  /// It reports itself as its service's primary.
  bool mLeads = false;
  /// Wall-clock start time in milliseconds; distinguishes the incarnations of
  /// an instance with the same id.
  std::int64_t mStartedAt = 0;

  bool operator==(const instance_entry&) const = default;
};

} // namespace catkinloom
