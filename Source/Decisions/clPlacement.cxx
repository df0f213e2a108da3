#include "clPlacement.h"

namespace catkinloom {

namespace {

constexpr std::uint64_t kFnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;

std::uint64_t
HashFnv1a(std::uint64_t aSeed, std::string_view aText)
{
  for (const char letter : aText) {
    aSeed ^= static_cast<unsigned char>(letter);
    aSeed *= kFnvPrime;
  }
  return aSeed;
}

/// MurmurHash3's 64-bit finalizer: spreads the low-order differences of the
/// FNV-1a hash over all bits.
std::uint64_t
Mix(std::uint64_t aValue)
{
  aValue ^= aValue >> 33U;
  aValue *= 0xff51afd7ed558ccdULL;
  aValue ^= aValue >> 33U;
  aValue *= 0xc4ceb9fe1a85ec53ULL;
  return aValue ^ aValue >> 33U;
}

} // namespace

std::uint64_t
PlacementWeight(std::string_view aGroup, std::string_view aProxy)
{
  const std::uint64_t group = HashFnv1a(kFnvOffset, aGroup);
  return Mix(HashFnv1a(Mix(group), aProxy));
}

std::size_t
PlacementRank(std::string_view aGroup,
              std::string_view aSelf,
              const std::vector<std::string_view>& aProxies)
{
  const std::uint64_t own = PlacementWeight(aGroup, aSelf);
  std::size_t rank = 0;
  for (const std::string_view proxy : aProxies) {
    if (proxy != aSelf && PlacementWeight(aGroup, proxy) > own) {
      ++rank;
    }
  }
  return rank;
}

} // namespace catkinloom
