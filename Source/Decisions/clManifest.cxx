#include "clManifest.h"

#include <algorithm>

namespace catkinloom {

namespace {

/// Up to this number of proxies, every proxy serves every group. With more,
/// each group is placed on this number of proxies and the others forward
/// requests to them.
constexpr std::uint32_t kMaxProxiesPerGroup = 5;

} // namespace

std::uint32_t
ProxiesPerGroup(std::uint32_t aProxies)
{
  return std::clamp(aProxies, 1U, kMaxProxiesPerGroup);
}

std::string_view
PolicyName(acknowledge_policy aPolicy)
{
  return aPolicy == acknowledge_policy::Confirmed ? "confirmed" : "primary";
}

std::string_view
KindName(request_kind aKind)
{
  return aKind == request_kind::Read ? "read" : "write";
}

} // namespace catkinloom
