#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace catkinloom {

/// The candidate that differs least from a mistyped name; empty when all
/// differ too much to be meant.
std::string_view
NearestName(std::string_view aName,
            const std::vector<std::string_view>& aCandidates);

/// ` Did you mean 'x'?`, or nothing.
std::string
NearestNameHint(std::string_view aName,
                const std::vector<std::string_view>& aCandidates);

} // namespace catkinloom
