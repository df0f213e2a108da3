#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace catkinloom {

/// Schema version that this build sends.  A daemon interoperates with peers
/// whose version differs by at most one: unknown fields are ignored and missing
/// ones get defaults.  Receivers do not check the number.
constexpr std::uint16_t kPeerSchemaVersion = 1;

/// State that daemons report to each other.
struct peer_heartbeat
{
  std::uint16_t mSchemaVersion = kPeerSchemaVersion;
  std::string mSender;
  /// Identifies the sender's process; differs after each restart.
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
  /// Name of the caller class; empty if the caller sent none.
  std::string mCaller;
  /// Time that the request may take, in milliseconds.
  std::uint32_t mDeadlineMs = 0;
  std::string mBody;
};

/// Response of the daemon that ran a forwarded request.  All texts but the body
/// are values of HTTP headers.
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
