#include "clManifest.h"

#include <algorithm>

namespace catkinloom {

namespace {

/// Every proxy serves every group up to this many proxies; past it each group
/// lives on this many and the others forward to them.
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
