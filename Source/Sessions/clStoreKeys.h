#pragma once

#include "clError.h"
#include "clLeadership.h"

#include <string>
#include <string_view>

namespace catkinloom {

/// Where this product keeps its own matters in the coordination store.
namespace store_keys {
constexpr std::string_view kInternalPrefix = "catkinloom/";
/// One failover record for each service.
constexpr std::string_view kFailoverPrefix = "catkinloom/failover/";
/// One key for each live proxy, under its lease.
constexpr std::string_view kProxyPrefix = "catkinloom/proxies/";
/// One key for each proxy, without a lease, that names its permit's lease.
/// Nobody watches them, so they lie outside kInternalPrefix.
constexpr std::string_view kLeadershipLeasePrefix = "catkinloom-permits/";
}

/// Writes a failover record as it is stored; its revision is the store's.
std::string
EncodeFailoverRecord(const failover_record& aRecord);

/// Errors: BadManifest when the value can't be read.
result<failover_record>
DecodeFailoverRecord(std::string_view aValue);

} // namespace catkinloom
