#pragma once

#include "clError.h"
#include "clManifest.h"

#include <cstdint>
#include <map>
#include <string>

namespace catkinloom {

/// Parts into which a manifest's groups are divided by name, so that a change
/// of one group sends only the part that holds it.
constexpr std::uint32_t kManifestBuckets = 256;

/// Number of the part that holds proxies, callers and requests.
constexpr std::uint32_t kGeneralBucket = kManifestBuckets;

/// Number of a part to its digest.
using bucket_digests = std::map<std::uint32_t, std::string>;

/// Number of a part to its text.
using bucket_texts = std::map<std::uint32_t, std::string>;

/// The small record that names the manifest in force.
struct manifest_head
{
  /// Rises by one with each accepted manifest.
  std::uint64_t mVersion = 0;
  /// Names the submission, so that a lost answer can be resolved.
  std::string mSubmissionId;
  bucket_digests mBuckets;
};

/// A 128-bit digest as 32 hexadecimal digits.
std::string
ComputeDigest(std::string_view aText);

/// Divides a manifest into parts; equal content gives equal texts.
bucket_texts
EncodeManifest(const manifest& aManifest);

/// Puts a manifest together again.  Errors: BadManifest.
result<manifest>
DecodeManifest(const bucket_texts& aTexts);

std::string
EncodeHead(const manifest_head& aHead);

/// Errors: BadManifest.
result<manifest_head>
DecodeHead(const std::string& aText);

/// Digest of every part.
bucket_digests
ComputeBucketDigests(const bucket_texts& aTexts);

} // namespace catkinloom
