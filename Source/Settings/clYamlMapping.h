#pragma once

#include "clClock.h"
#include "clError.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace catkinloom {

/// One checked YAML mapping.  Every error tells file, line, column and what
/// is allowed.
class yaml_mapping
{
public:
  /// Accepts a mapping that holds only the allowed keys, each once.
  static result<yaml_mapping> FromNode(std::string aFile,
                                       const YAML::Node& aNode,
                                       error_kind aKind,
                                       std::vector<std::string_view> aAllowed);

  bool Has(std::string_view aKey) const { return Find(aKey) != nullptr; }

  /// A text that is not empty.  Without a default the key must be present.
  result<std::string> Text(std::string_view aKey,
                           std::optional<std::string> aDefault = {}) const;

  /// A whole number between the bounds, both included.
  result<std::uint32_t> Number(
    std::string_view aKey,
    std::uint32_t aMin,
    std::uint32_t aMax,
    std::optional<std::uint32_t> aDefault = {}) const;

  /// A time such as `250ms`, `2s` or `5m` between the bounds.
  result<milliseconds> Duration(
    std::string_view aKey,
    milliseconds aMin,
    milliseconds aMax,
    std::optional<milliseconds> aDefault = {}) const;

  /// `true` or `false`.
  result<bool> Flag(std::string_view aKey, bool aDefault) const;

  /// Position of the chosen name in the list of allowed names.
  result<std::size_t> Choice(std::string_view aKey,
                             const std::vector<std::string_view>& aNames,
                             std::optional<std::size_t> aDefault = {}) const;

  /// A nested mapping; an absent one is empty.
  result<yaml_mapping> Mapping(std::string_view aKey,
                               std::vector<std::string_view> aAllowed) const;

  /// Calls aVisit for each item of a list; an absent list has none.
  result<void> ForEach(
    std::string_view aKey,
    const std::function<result<void>(const YAML::Node&)>& aVisit) const;

  /// An error at a key's value, or at the mapping when the key is absent.
  error ErrorAt(std::string_view aKey, const std::string& aDetail) const;

  const std::string& File() const { return mFile; }

private:
  const YAML::Node* Find(std::string_view aKey) const;
  result<std::string> Scalar(std::string_view aKey) const;

  std::string mFile;
  YAML::Mark mMark;
  error_kind mKind = error_kind::BadSettings;
  std::vector<std::pair<std::string, YAML::Node>> mEntries;
};

/// Reads a file or text as one YAML document.  Errors: aKind.
result<YAML::Node>
LoadYaml(const std::string& aFile, const std::string& aText, error_kind aKind);

/// Reads a whole file.  Errors: aKind.
result<std::string>
ReadFile(const std::string& aFile, error_kind aKind);

/// Reads `250ms`, `2.5s` or `5m`.
std::optional<milliseconds>
ParseDuration(std::string_view aText);

} // namespace catkinloom
