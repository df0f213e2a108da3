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
  /// After a majority of the group's instances hold it under its term.
  Confirmed,
  /// After the primary answered, while its term is known to be current.
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

/// One kind of request that callers may send, and what it tolerates.
struct manifest_request
{
  std::string mName;
  request_kind mKind = request_kind::Read;
  /// Age of data that a read accepts; empty means only current data.
  std::optional<milliseconds> mMaxAge;
  /// False: the request runs at most once.
  bool mRepeatable = true;
};

/// One class of callers that share fairly with the others.
struct manifest_caller
{
  std::string mName;
  std::uint32_t mWeight = 1;
  /// Requests of this class in flight per proxy.
  std::uint32_t mMaxInFlight = 0;
  /// Requests of this class that may wait per proxy.
  std::uint32_t mMaxQueue = 0;
};

/// One VM that serves as a proxy.
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

/// Proxies on which each group is placed, out of all of a manifest's proxies.
std::uint32_t
ProxiesPerGroup(std::uint32_t aProxies);

std::string_view
PolicyName(acknowledge_policy aPolicy);
std::string_view
KindName(request_kind aKind);

} // namespace catkinloom
