#pragma once

#include "clError.h"
#include "clManifest.h"

#include <cstdint>
#include <map>
#include <string>

namespace catkinloom {

/// Number of buckets into which groups are divided by a hash of their name, so
/// that a change of one group rewrites only the bucket that contains it.
constexpr std::uint32_t kManifestBuckets = 256;

/// Bucket that contains proxies, callers and requests.
constexpr std::uint32_t kGeneralBucket = kManifestBuckets;

/// Maps a bucket to its digest.
using bucket_digests = std::map<std::uint32_t, std::string>;

/// Maps a bucket to its JSON text.
using bucket_texts = std::map<std::uint32_t, std::string>;

/// Stored record that identifies the manifest in force by the digests of its
/// buckets.
struct manifest_head
{
  /// Incremented by one for each accepted manifest.
  std::uint64_t mVersion = 0;
  /// Identifies the submission, so that a submitter that received no response
  /// can find out whether its manifest was accepted.
  std::string mSubmissionId;
  bucket_digests mBuckets;
};

/// Computes a 128-bit digest as 32 hexadecimal digits.
std::string
ComputeDigest(std::string_view aText);

/// Serializes a manifest into buckets.  Deterministic: the order of the groups
/// has no effect on the texts.
bucket_texts
EncodeManifest(const manifest& aManifest);

/// Reassembles a manifest from its buckets.  Errors: BadManifest.
result<manifest>
DecodeManifest(const bucket_texts& aTexts);

std::string
EncodeHead(const manifest_head& aHead);

/// Errors: BadManifest.
result<manifest_head>
DecodeHead(const std::string& aText);

bucket_digests
ComputeBucketDigests(const bucket_texts& aTexts);

} // namespace catkinloom
