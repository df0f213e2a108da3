#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace catkinloom {

/// Schema version that this build speaks.  A daemon works with peers of one
/// version more or less.
constexpr std::uint16_t kPeerSchemaVersion = 1;

/// State that daemons tell each other.
struct peer_heartbeat
{
  std::uint16_t mSchemaVersion = kPeerSchemaVersion;
  std::string mSender;
  std::string mIdentity;
  std::uint64_t mManifestVersion = 0;
  bool mDraining = false;
};

/// Parts of a manifest, with the head that names all parts.
struct peer_manifest_change
{
  std::string mHead;
  std::map<std::uint32_t, std::string> mBuckets;
};

/// A caller's request on its way to a daemon that serves its group.
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

/// What the serving daemon answered.
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
