#pragma once

#include "clManifestCodec.h"
#include "clPeerMessages.h"
#include "clPlatformClient.h"
#include "clProxyState.h"

#include <functional>
#include <string>
#include <vector>

namespace catkinloom {

/// Keeps the manifest in force: reads it from the platform or from a peer,
/// submits new ones, and never goes back to an older version.
class manifest_synchronizer
{
public:
  /// Called when a newer manifest has come into force.
  using changed_handler = std::function<void()>;

  manifest_synchronizer(proxy_state& aState,
                        platform_client& aPlatform,
                        changed_handler aOnChanged)
    : mState(aState)
    , mPlatform(aPlatform)
    , mOnChanged(std::move(aOnChanged))
  {
  }

  /// Watches the platform until the daemon stops; runs in a fiber.
  void Run();

  /// Makes a checked manifest the next version.  Errors: BadManifest,
  /// ManifestConflict, PlatformUnavailable; after the last it may still have
  /// been accepted, and `manifest status` tells.
  result<std::uint64_t> Submit(const manifest& aManifest,
                               std::optional<std::uint64_t> aExpected);

  /// What a peer lacks that holds the given digests.
  peer_manifest_change ChangeSince(
    const std::vector<std::string>& aDigests) const;

  /// Digests of every part that this proxy holds.
  std::vector<std::string> BucketDigests() const;

  /// Takes over a peer's manifest when it is newer.  Errors: BadManifest.
  result<void> ApplyChange(const peer_manifest_change& aChange);

private:
  result<void> WatchOnce();
  result<void> ApplyHead(const manifest_head& aHead);
  result<void> Activate(const manifest_head& aHead, bucket_texts aTexts);
  result<void> WriteBuckets(const bucket_texts& aTexts);
  result<std::uint64_t> ResolveUnansweredSwap(const manifest_head& aSubmitted);

  proxy_state& mState;
  platform_client& mPlatform;
  changed_handler mOnChanged;
  manifest_head mHead;
  bucket_texts mTexts;
  std::uint64_t mRevision = 0;
  std::uint64_t mSubmissionCount = 0;
};

} // namespace catkinloom
