#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace catkinloom {

/// Schema version that this build sends.  A daemon interoperates with peers
/// whose version differs by at most one.
constexpr std::uint16_t kPeerSchemaVersion = 1;

/// State that daemons report to each other.
struct peer_heartbeat
{
  std::uint16_t mSchemaVersion = kPeerSchemaVersion;
  std::string mSender;
  std::string mIdentity;
  std::uint64_t mManifestVersion = 0;
  bool mDraining = false;
};

/// Buckets of a manifest, keyed by bucket number, and the manifest head, which
/// lists all buckets.
struct peer_manifest_change
{
  std::string mHead;
  std::map<std::uint32_t, std::string> mBuckets;
};

/// A caller's request, forwarded to a daemon that serves its group.
struct peer_request
{
  std::string mGroup;
  std::string mRequest;
  std::string mSession;
  std::string mIdempotencyKey;
  std::string mCaller;
  std::uint32_t mDeadlineMs = 0;
  std::string mBody;
};

/// Response of the daemon that ran a forwarded request.
struct peer_answer
{
  std::uint16_t mStatus = 0;
  std::string mBody;
  std::string mSession;
  std::string mOutcome;
  std::string mError;
  std::string mUpstream;
};

} // namespace catkinloom
