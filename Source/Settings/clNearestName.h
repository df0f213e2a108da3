#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace catkinloom {

/// Returns the candidate with the smallest edit distance to a misspelled name,
/// or an empty view if none is near.  A candidate is near if its distance is at
/// most 2 or half of the name's length, whichever is larger.
std::string_view
NearestName(std::string_view aName,
            const std::vector<std::string_view>& aCandidates);

/// Returns ` Did you mean 'x'?` with a leading space, or an empty string if no
/// candidate is near.
std::string
NearestNameHint(std::string_view aName,
                const std::vector<std::string_view>& aCandidates);

} // namespace catkinloom
