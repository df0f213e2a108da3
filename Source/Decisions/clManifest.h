#pragma once

#include "clClock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloom {

/// When a write may be acknowledged to its caller.
enum class acknowledge_policy
{
  /// After a majority of the group's instances holds it under its term.
  Confirmed,
  /// After the primary responded, while its term is known to be current.
  Primary,
};

/// What a request does to the data.
enum class request_kind
{
  Read,
  Write,
};

/// One upstream instance of a database group.
struct manifest_instance
{
  std::string mName;
  std::string mZone;
  std::string mAddress;
  std::uint32_t mSlots = 0;
  std::uint32_t mConnections = 0;
};

/// One database group.
struct manifest_group
{
  std::string mName;
  acknowledge_policy mAcknowledge = acknowledge_policy::Confirmed;
  std::vector<manifest_instance> mInstances;
};

/// One request type that callers may send, and the guarantees that it needs.
struct manifest_request
{
  std::string mName;
  request_kind mKind = request_kind::Read;
  /// Maximum age of the data that a read accepts; empty means that only current
  /// data is accepted.
  std::optional<milliseconds> mMaxAge;
  /// False if the request must run at most once.
  bool mRepeatable = true;
};

/// One class of callers, for weighted fair queueing among classes.
struct manifest_caller
{
  std::string mName;
  std::uint32_t mWeight = 1;
  /// Maximum number of requests of this class in flight per proxy.
  std::uint32_t mMaxInFlight = 0;
  /// Maximum number of requests of this class that wait per proxy.
  std::uint32_t mMaxQueue = 0;
};

/// One VM that runs a proxy.
struct manifest_proxy
{
  std::string mName;
  std::string mZone;
  std::string mPeerAddress;
};

/// Everything that operators declare.
struct manifest
{
  std::vector<manifest_proxy> mProxies;
  std::vector<manifest_caller> mCallers;
  std::vector<manifest_request> mRequests;
  std::vector<manifest_group> mGroups;
};

/// Number of proxies on which each group is placed if the manifest declares
/// aProxies proxies.
std::uint32_t
ProxiesPerGroup(std::uint32_t aProxies);

std::string_view
PolicyName(acknowledge_policy aPolicy);
std::string_view
KindName(request_kind aKind);

} // namespace catkinloom
