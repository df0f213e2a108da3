#include "clYamlMapping.h"

#include "clNearestName.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

namespace catkinloom {

namespace {

struct duration_unit
{
  std::string_view mSuffix;
  milliseconds mUnit;
};

constexpr std::array kDurationUnits{
  duration_unit{ "ms", milliseconds(1) },
  duration_unit{ "s", milliseconds(1000) },
  duration_unit{ "m", milliseconds(60000) },
};

error
MakeLocatedError(error_kind aKind,
                 const std::string& aFile,
                 const YAML::Mark& aMark,
                 const std::string& aDetail)
{
  return {
    aKind,
    fmt::format(
      "{}:{}:{}: {}", aFile, aMark.line + 1, aMark.column + 1, aDetail)
  };
}

std::string
JoinNames(const std::vector<std::string_view>& aNames)
{
  return fmt::format("{}", fmt::join(aNames, ", "));
}

} // namespace

std::optional<milliseconds>
ParseDuration(std::string_view aText)
{
  constexpr double kMaxDurationCount = 1e9;
  double count = 0;
  const char* end = aText.data() + aText.size();
  const auto [parseEnd, failure] =
    std::from_chars(aText.data(), end, count, std::chars_format::fixed);
  // False for NaN, since every comparison with NaN is false.
  const bool isInRange = count >= 0 && count <= kMaxDurationCount;
  if (failure != std::errc{} || !isInRange) {
    return std::nullopt;
  }
  const std::string_view suffix(parseEnd,
                                static_cast<std::size_t>(end - parseEnd));
  for (const duration_unit& unit : kDurationUnits) {
    if (unit.mSuffix == suffix) {
      const std::chrono::duration<double, std::milli> time = unit.mUnit * count;
      return std::chrono::round<milliseconds>(time);
    }
  }
  return std::nullopt;
}

result<std::string>
ReadFile(const std::string& aFile, error_kind aKind)
{
  std::ifstream stream(aFile);
  if (!stream) {
    return error{ aKind,
                  aFile + ": cannot be read. Check path and permissions." };
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

result<YAML::Node>
LoadYaml(const std::string& aFile, const std::string& aText, error_kind aKind)
{
  // yaml-cpp throws on syntax errors; they are converted into errors here.
  try {
    return YAML::Load(aText);
  } catch (const YAML::Exception& failure) {
    return MakeLocatedError(aKind, aFile, failure.mark, failure.msg + ".");
  }
}

result<yaml_mapping>
yaml_mapping::FromNode(std::string aFile,
                       const YAML::Node& aNode,
                       error_kind aKind,
                       std::vector<std::string_view> aAllowed)
{
  yaml_mapping mapping;
  mapping.mFile = std::move(aFile);
  mapping.mMark = aNode.Mark();
  mapping.mKind = aKind;
  if (!aNode.IsMap()) {
    return MakeLocatedError(aKind,
                            mapping.mFile,
                            aNode.Mark(),
                            "Expected a mapping with the keys " +
                              JoinNames(aAllowed) + ".");
  }
  for (const auto& entry : aNode) {
    const std::string key = entry.first.Scalar();
    const YAML::Mark mark = entry.first.Mark();
    if (std::find(aAllowed.begin(), aAllowed.end(), key) == aAllowed.end()) {
      return MakeLocatedError(aKind,
                              mapping.mFile,
                              mark,
                              fmt::format("Unknown key '{}'.{} Allowed: {}.",
                                          key,
                                          NearestNameHint(key, aAllowed),
                                          JoinNames(aAllowed)));
    }
    if (mapping.Has(key)) {
      return MakeLocatedError(aKind,
                              mapping.mFile,
                              mark,
                              "Key '" + key + "' stands twice. Keep one.");
    }
    mapping.mEntries.emplace_back(key, entry.second);
  }
  return mapping;
}

const YAML::Node*
yaml_mapping::Find(std::string_view aKey) const
{
  for (const auto& [key, node] : mEntries) {
    if (key == aKey) {
      return &node;
    }
  }
  return nullptr;
}

error
yaml_mapping::ErrorAt(std::string_view aKey, const std::string& aDetail) const
{
  const YAML::Node* node = Find(aKey);
  return MakeLocatedError(
    mKind, mFile, node == nullptr ? mMark : node->Mark(), aDetail);
}

result<std::string>
yaml_mapping::Scalar(std::string_view aKey) const
{
  const YAML::Node* node = Find(aKey);
  if (node == nullptr) {
    return ErrorAt(aKey, fmt::format("Key '{}' is missing.", aKey));
  }
  if (!node->IsScalar() || node->Scalar().empty()) {
    return ErrorAt(aKey,
                   fmt::format("'{}' must be a single non-empty value.", aKey));
  }
  return node->Scalar();
}

result<std::string>
yaml_mapping::Text(std::string_view aKey,
                   std::optional<std::string> aDefault) const
{
  if (!Has(aKey) && aDefault) {
    return std::move(*aDefault);
  }
  return Scalar(aKey);
}

result<std::uint32_t>
yaml_mapping::Number(std::string_view aKey,
                     std::uint32_t aMin,
                     std::uint32_t aMax,
                     std::optional<std::uint32_t> aDefault) const
{
  if (!Has(aKey) && aDefault) {
    return *aDefault;
  }
  BOOST_OUTCOME_TRY(const std::string text, Scalar(aKey));
  std::uint32_t number = 0;
  const char* end = text.data() + text.size();
  const auto [parseEnd, failure] = std::from_chars(text.data(), end, number);
  const bool isNumber = failure == std::errc{} && parseEnd == end;
  if (!isNumber || number < aMin || number > aMax) {
    return ErrorAt(aKey,
                   fmt::format("'{}' is '{}'. Allowed: whole numbers from {} "
                               "to {}.",
                               aKey,
                               text,
                               aMin,
                               aMax));
  }
  return number;
}

result<milliseconds>
yaml_mapping::Duration(std::string_view aKey,
                       milliseconds aMin,
                       milliseconds aMax,
                       std::optional<milliseconds> aDefault) const
{
  if (!Has(aKey) && aDefault) {
    return *aDefault;
  }
  BOOST_OUTCOME_TRY(const std::string text, Scalar(aKey));
  const std::optional<milliseconds> time = ParseDuration(text);
  if (!time || *time < aMin || *time > aMax) {
    return ErrorAt(aKey,
                   fmt::format("'{}' is '{}'. Allowed: {}ms to {}ms, written "
                               "like 250ms, 2s or 5m.",
                               aKey,
                               text,
                               aMin.count(),
                               aMax.count()));
  }
  return *time;
}

result<bool>
yaml_mapping::Flag(std::string_view aKey, bool aDefault) const
{
  BOOST_OUTCOME_TRY(const std::size_t choice,
                    Choice(aKey, { "false", "true" }, aDefault ? 1 : 0));
  return choice == 1;
}

result<std::size_t>
yaml_mapping::Choice(std::string_view aKey,
                     const std::vector<std::string_view>& aNames,
                     std::optional<std::size_t> aDefault) const
{
  if (!Has(aKey) && aDefault) {
    return *aDefault;
  }
  BOOST_OUTCOME_TRY(const std::string text, Scalar(aKey));
  const auto found = std::find(aNames.begin(), aNames.end(), text);
  if (found == aNames.end()) {
    return ErrorAt(aKey,
                   fmt::format("'{}' is '{}'.{} Allowed: {}.",
                               aKey,
                               text,
                               NearestNameHint(text, aNames),
                               JoinNames(aNames)));
  }
  return static_cast<std::size_t>(found - aNames.begin());
}

result<yaml_mapping>
yaml_mapping::Mapping(std::string_view aKey,
                      std::vector<std::string_view> aAllowed) const
{
  const YAML::Node* node = Find(aKey);
  if (node == nullptr || node->IsNull()) {
    yaml_mapping empty;
    empty.mFile = mFile;
    empty.mMark = mMark;
    empty.mKind = mKind;
    return empty;
  }
  return FromNode(mFile, *node, mKind, std::move(aAllowed));
}

result<void>
yaml_mapping::ForEach(
  std::string_view aKey,
  const std::function<result<void>(const YAML::Node&)>& aVisit) const
{
  const YAML::Node* node = Find(aKey);
  if (node == nullptr) {
    return boost::outcome_v2::success();
  }
  if (!node->IsSequence()) {
    return ErrorAt(aKey, fmt::format("'{}' must be a list.", aKey));
  }
  for (const YAML::Node& item : *node) {
    BOOST_OUTCOME_TRY(aVisit(item));
  }
  return boost::outcome_v2::success();
}

} // namespace catkinloom
