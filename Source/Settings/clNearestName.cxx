#include "clNearestName.h"

#include <algorithm>
#include <numeric>

namespace catkinloom {

namespace {

/// Levenshtein distance.
std::size_t
EditDistance(std::string_view aLeft, std::string_view aRight)
{
  std::vector<std::size_t> row(aRight.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 1; i <= aLeft.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= aRight.size(); ++j) {
      const std::size_t substitution =
        diagonal + (aLeft[i - 1] == aRight[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({ substitution, row[j] + 1, row[j - 1] + 1 });
    }
  }
  return row[aRight.size()];
}

} // namespace

std::string_view
NearestName(std::string_view aName,
            const std::vector<std::string_view>& aCandidates)
{
  std::string_view best;
  std::size_t bestDistance = std::max<std::size_t>(2, aName.size() / 2) + 1;
  for (const std::string_view candidate : aCandidates) {
    const std::size_t distance = EditDistance(aName, candidate);
    if (distance < bestDistance) {
      best = candidate;
      bestDistance = distance;
    }
  }
  return best;
}

std::string
NearestNameHint(std::string_view aName,
                const std::vector<std::string_view>& aCandidates)
{
  const std::string_view nearest = NearestName(aName, aCandidates);
  if (nearest.empty()) {
    return {};
  }
  return " Did you mean '" + std::string(nearest) + "'?";
}

} // namespace catkinloom
