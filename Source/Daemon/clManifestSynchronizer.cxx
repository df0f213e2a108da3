#include "clManifestSynchronizer.h"

#include "clLog.h"
#include "clManifestReader.h"

#include <algorithm>
#include <random>

namespace catkinloom {

namespace {

const std::string kHeadKey = "catkinloom/manifest/head";
const std::string kBucketPrefix = "catkinloom/manifest/bucket/";

/// Time for which the platform keeps one watch request open without a change.
constexpr milliseconds kWatchTimeout{ 10000 };

constexpr milliseconds kInitialBackOff{ 200 };
constexpr milliseconds kMaxBackOff{ 5000 };

/// Maximum number of reads of the head after a compare-and-swap without a
/// response.
constexpr int kMaxResolveAttempts = 5;

/// Random delay between half of aDelay and aDelay, so that the daemons do not
/// call the platform at the same time.
milliseconds
Jittered(milliseconds aDelay)
{
  static thread_local std::minstd_rand sRandom(std::random_device{}());
  std::uniform_int_distribution<std::int64_t> distribution(aDelay.count() / 2,
                                                           aDelay.count());
  return milliseconds(distribution(sRandom));
}

} // namespace

void
manifest_synchronizer::Run()
{
  milliseconds backOff = kInitialBackOff;
  while (true) {
    const auto watched = WatchOnce();
    if (watched) {
      backOff = kInitialBackOff;
      continue;
    }
    Log(log_level::Warning,
        "manifest",
        "Platform gave no manifest; retrying, the one in force stays. "
        "cause={}",
        watched.error().mDetail);
    mState.mLoop.Sleep(Jittered(backOff));
    backOff = std::min(backOff * 2, kMaxBackOff);
  }
}

result<void>
manifest_synchronizer::WatchOnce()
{
  BOOST_OUTCOME_TRY(const std::optional<platform_value> value,
                    mPlatform.Watch(kHeadKey, mRevision, kWatchTimeout));
  if (!value) {
    return boost::outcome_v2::success();
  }
  BOOST_OUTCOME_TRY(const manifest_head head, DecodeHead(value->mText));
  BOOST_OUTCOME_TRY(ApplyHead(head));
  mRevision = std::max(mRevision, value->mRevision);
  return boost::outcome_v2::success();
}

result<void>
manifest_synchronizer::ApplyHead(const manifest_head& aHead)
{
  if (aHead.mVersion <= mHead.mVersion) {
    return boost::outcome_v2::success();
  }
  bucket_texts texts;
  for (const auto& [bucket, digest] : aHead.mBuckets) {
    const auto known = mHead.mBuckets.find(bucket);
    if (known != mHead.mBuckets.end() && known->second == digest) {
      texts[bucket] = mBucketTexts[bucket];
      continue;
    }
    BOOST_OUTCOME_TRY(platform_value bucketValue,
                      mPlatform.Get(kBucketPrefix + digest));
    texts[bucket] = std::move(bucketValue.mText);
  }
  return Activate(aHead, std::move(texts));
}

result<void>
manifest_synchronizer::Activate(const manifest_head& aHead, bucket_texts aTexts)
{
  if (ComputeBucketDigests(aTexts) != aHead.mBuckets) {
    return error{
      error_kind::BadManifest,
      "A manifest bucket does not match its digest; submit the manifest "
      "again."
    };
  }
  BOOST_OUTCOME_TRY(manifest declared, DecodeManifest(aTexts));
  // While the buckets were read, another fiber may have activated a newer
  // version.
  if (aHead.mVersion <= mHead.mVersion) {
    return boost::outcome_v2::success();
  }
  mHead = aHead;
  mBucketTexts = std::move(aTexts);
  mState.mManifest = std::move(declared);
  mState.mManifestVersion = aHead.mVersion;
  mState.mMetrics.mManifestVersion.Set(static_cast<double>(aHead.mVersion));
  Log(log_level::Info,
      "manifest",
      "New manifest in force; its groups and proxies are applied. "
      "version={} groups={} proxies={}",
      aHead.mVersion,
      mState.mManifest.mGroups.size(),
      mState.mManifest.mProxies.size());
  mOnChanged();
  return boost::outcome_v2::success();
}

result<void>
manifest_synchronizer::WriteBuckets(const bucket_texts& aTexts)
{
  for (const auto& [bucket, text] : aTexts) {
    const std::string digest = ComputeDigest(text);
    const auto known = mHead.mBuckets.find(bucket);
    if (known != mHead.mBuckets.end() && known->second == digest) {
      continue;
    }
    // The key contains the digest of the text. A conflict therefore means that
    // the same bucket is already stored, which counts as success.
    BOOST_OUTCOME_TRY(
      mPlatform.CompareAndSwap(kBucketPrefix + digest, 0, text));
  }
  return boost::outcome_v2::success();
}

result<std::uint64_t>
manifest_synchronizer::Submit(const manifest& aManifest,
                              std::optional<std::uint64_t> aExpected)
{
  BOOST_OUTCOME_TRY(const platform_value current, mPlatform.Get(kHeadKey));
  manifest_head head;
  if (current.mRevision != 0) {
    BOOST_OUTCOME_TRY(head, DecodeHead(current.mText));
    BOOST_OUTCOME_TRY(ApplyHead(head));
  }
  if (aExpected && *aExpected != head.mVersion) {
    return error{ error_kind::ManifestConflict,
                  fmt::format(
                    "Manifest version {} is in force, not the expected {}; "
                    "review it and submit against it.",
                    head.mVersion,
                    *aExpected) };
  }
  BOOST_OUTCOME_TRY(CheckManifestStep(mState.mManifest, aManifest));
  const bucket_texts texts = EncodeManifest(aManifest);
  BOOST_OUTCOME_TRY(WriteBuckets(texts));
  manifest_head next;
  next.mVersion = head.mVersion + 1;
  next.mSubmissionId =
    fmt::format("{}/{}", mState.mIdentity, ++mSubmissionCount);
  next.mBuckets = ComputeBucketDigests(texts);
  const auto swapped =
    mPlatform.CompareAndSwap(kHeadKey, current.mRevision, EncodeHead(next));
  if (!swapped) {
    return ResolveUnansweredSwap(next);
  }
  if (swapped.value() == swap_outcome::Conflict) {
    return error{ error_kind::ManifestConflict,
                  "Another manifest was accepted first; review it and submit "
                  "again." };
  }
  BOOST_OUTCOME_TRY(Activate(next, texts));
  return next.mVersion;
}

result<std::uint64_t>
manifest_synchronizer::ResolveUnansweredSwap(const manifest_head& aSubmitted)
{
  for (int i = 0; i < kMaxResolveAttempts; ++i) {
    const auto value = mPlatform.Get(kHeadKey);
    if (!value) {
      mState.mLoop.Sleep(Jittered(kInitialBackOff));
      continue;
    }
    if (value.value().mRevision == 0) {
      break;
    }
    BOOST_OUTCOME_TRY(const manifest_head head,
                      DecodeHead(value.value().mText));
    BOOST_OUTCOME_TRY(ApplyHead(head));
    if (head.mSubmissionId == aSubmitted.mSubmissionId) {
      return head.mVersion;
    }
    if (head.mVersion >= aSubmitted.mVersion) {
      return error{ error_kind::ManifestConflict,
                    fmt::format(
                      "Manifest version {} is in force and is not the "
                      "submitted one; review it and submit again.",
                      head.mVersion) };
    }
    // The head is unchanged, but the compare-and-swap may still take effect.
    mState.mLoop.Sleep(Jittered(kInitialBackOff));
  }
  return error{ error_kind::PlatformUnavailable,
                "The platform did not respond, and the manifest may still be "
                "accepted. Check `manifest status` before you submit again." };
}

peer_manifest_change
manifest_synchronizer::ChangeSince(
  const std::vector<std::string>& aDigests) const
{
  peer_manifest_change change;
  if (mHead.mVersion == 0) {
    return change;
  }
  change.mHead = EncodeHead(mHead);
  for (const auto& [bucket, digest] : mHead.mBuckets) {
    if (std::find(aDigests.begin(), aDigests.end(), digest) == aDigests.end()) {
      change.mBuckets[bucket] = mBucketTexts.at(bucket);
    }
  }
  return change;
}

std::vector<std::string>
manifest_synchronizer::BucketDigests() const
{
  std::vector<std::string> digests;
  for (const auto& [bucket, digest] : mHead.mBuckets) {
    digests.push_back(digest);
  }
  return digests;
}

result<void>
manifest_synchronizer::ApplyChange(const peer_manifest_change& aChange)
{
  if (aChange.mHead.empty()) {
    return boost::outcome_v2::success();
  }
  BOOST_OUTCOME_TRY(const manifest_head head, DecodeHead(aChange.mHead));
  if (head.mVersion <= mHead.mVersion) {
    return boost::outcome_v2::success();
  }
  bucket_texts texts = aChange.mBuckets;
  for (const auto& [bucket, digest] : head.mBuckets) {
    const auto known = mHead.mBuckets.find(bucket);
    if (known != mHead.mBuckets.end() && known->second == digest) {
      texts[bucket] = mBucketTexts[bucket];
    }
  }
  return Activate(head, std::move(texts));
}

} // namespace catkinloom
