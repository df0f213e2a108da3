#pragma once

#include "clError.h"
#include "clLeadership.h"
#include "clMembershipRecord.h"

#include <string>
#include <string_view>

namespace catkinloom {

/// Prefixes of the keys that this product writes to the coordination store.
namespace store_keys {
/// Prefix of the keys that every proxy watches.
constexpr std::string_view kInternalPrefix = "catkinloom/";
/// One failover record for each service.
constexpr std::string_view kFailoverPrefix = "catkinloom/failover/";
/// One membership record for each service.
constexpr std::string_view kMembershipPrefix = "catkinloom/members/";
/// One key for each running proxy, attached to its registration lease.
constexpr std::string_view kProxyPrefix = "catkinloom/proxies/";
/// One key for each proxy that names its leadership lease and is attached to
/// no lease itself.  No proxy watches these keys, so they lie outside
/// kInternalPrefix.
constexpr std::string_view kLeadershipLeasePrefix = "catkinloom-permits/";
}

/// Encodes a failover record as JSON, without its version: the store assigns
/// that.
std::string
EncodeFailoverRecord(const failover_record& aRecord);

/// Errors: BadManifest if the value is not a valid record.
result<failover_record>
DecodeFailoverRecord(std::string_view aValue);

/// Encodes a membership record as JSON, without its version.
std::string
EncodeMembershipRecord(const membership_record& aRecord);

/// aService is the group's service.  Errors: BadManifest if the value is not a
/// valid record.
result<membership_record>
DecodeMembershipRecord(const std::string& aService, std::string_view aValue);

} // namespace catkinloom
