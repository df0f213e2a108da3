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
  result<void> WatchOnce();
  result<void> ApplyHead(const manifest_head& aHead);
  result<void> Activate(const manifest_head& aHead, bucket_texts aTexts);
  result<void> WriteBuckets(const bucket_texts& aTexts);
  result<std::uint64_t> ResolveUnansweredSwap(const manifest_head& aSubmitted);

  proxy_state& mState;
  platform_client& mPlatform;
  changed_handler mOnChanged;
  manifest_head mHead;
  bucket_texts mBucketTexts;
  std::uint64_t mRevision = 0;
  std::uint64_t mSubmissionCount = 0;
};

} // namespace catkinloom
