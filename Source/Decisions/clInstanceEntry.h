#pragma once

#include <cstdint>
#include <string>

namespace catkinloom {

/// What an upstream instance says of itself in the directory.
struct instance_entry
{
  std::string mId;
  std::string mService;
  /// IP:port.
  std::string mAddress;
  std::string mZone;
  /// Statements that it runs at the same time.
  std::uint32_t mSlots = 1;
  /// It is leaving and takes no new work.
  bool mDraining = false;
  /// It believes that it leads its service.
  bool mLeads = false;
  /// Wall-clock moment of its start in milliseconds; tells one life of an
  /// instance from the next under the same id.
  std::int64_t mStartedAt = 0;

  bool operator==(const instance_entry&) const = default;
};

} // namespace catkinloom
