#pragma once

#include "clManifestCodec.h"
#include "clPeerMessages.h"
#include "clPlatformClient.h"
#include "clProxyState.h"

#include <functional>
#include <string>
#include <vector>

namespace catkinloom {

/// Keeps the active manifest up to date from the platform and from peers, and
/// submits new manifests. The active version never decreases.
class manifest_synchronizer
{
public:
  /// Called after a newer manifest has become active.
  using changed_handler = std::function<void()>;

  manifest_synchronizer(proxy_state& aState,
                        platform_client& aPlatform,
                        changed_handler aOnChanged)
    : mState(aState)
    , mPlatform(aPlatform)
    , mOnChanged(std::move(aOnChanged))
  {
  }

  /// Watches the manifest head on the platform until the daemon stops; runs in
  /// a fiber.
  void Run();

  /// Submits a validated manifest as the next version and returns its number.
  /// aExpected is the version that it replaces; empty accepts any. Errors:
  /// BadManifest, ManifestConflict, PlatformUnavailable. After
  /// PlatformUnavailable the manifest may still have been accepted; `manifest
  /// status` shows whether it was.
  result<std::uint64_t> Submit(const manifest& aManifest,
                               std::optional<std::uint64_t> aExpected);

  /// Head of the active manifest and the buckets whose digests are not in
  /// aDigests, which are those that the peer already has.
  peer_manifest_change ChangeSince(
    const std::vector<std::string>& aDigests) const;

  /// Digests of all buckets of the active manifest.
  std::vector<std::string> BucketDigests() const;

  /// Activates a peer's manifest if it is newer. Errors: BadManifest.
  result<void> ApplyChange(const peer_manifest_change& aChange);

private:
  /// Waits for one change of the head and applies it. Also succeeds if there is
  /// no change within the watch time-out.
  result<void> WatchOnce();
  /// If the head is newer than the active one, reads its changed buckets from
  /// the platform and activates it.
  result<void> ApplyHead(const manifest_head& aHead);
  /// Activates a manifest if it is newer. Errors: BadManifest if the texts do
  /// not match the digests in aHead or cannot be decoded.
  result<void> Activate(const manifest_head& aHead, bucket_texts aTexts);
  /// Writes the buckets that differ from the active manifest to the platform.
  result<void> WriteBuckets(const bucket_texts& aTexts);
  /// Determines whether a head was accepted whose compare-and-swap received no
  /// response.
  result<std::uint64_t> ResolveUnansweredSwap(const manifest_head& aSubmitted);

  proxy_state& mState;
  platform_client& mPlatform;
  changed_handler mOnChanged;
  /// Head and buckets of the active manifest.
  manifest_head mHead;
  bucket_texts mBucketTexts;
  /// Platform revision of the last head that WatchOnce received.
  std::uint64_t mRevision = 0;
  /// Makes the submission ids of this process unique.
  std::uint64_t mSubmissionCount = 0;
};

} // namespace catkinloom
