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

/// A YAML mapping with validated keys.  Every error states file, line and
/// column; errors about keys and values list what is allowed.
class yaml_mapping
{
public:
  /// Fails if aNode is not a mapping or has an unknown or duplicate key.
  static result<yaml_mapping> FromNode(std::string aFile,
                                       const YAML::Node& aNode,
                                       error_kind aKind,
                                       std::vector<std::string_view> aAllowed);

  bool Has(std::string_view aKey) const { return Find(aKey) != nullptr; }

  /// A non-empty string.  Without a default the key is required.
  result<std::string> Text(std::string_view aKey,
                           std::optional<std::string> aDefault = {}) const;

  /// An integer; both bounds are inclusive.
  result<std::uint32_t> Number(
    std::string_view aKey,
    std::uint32_t aMin,
    std::uint32_t aMax,
    std::optional<std::uint32_t> aDefault = {}) const;

  /// A duration such as `250ms`, `2s` or `5m`; both bounds are inclusive.
  result<milliseconds> Duration(
    std::string_view aKey,
    milliseconds aMin,
    milliseconds aMax,
    std::optional<milliseconds> aDefault = {}) const;

  /// `true` or `false`.
  result<bool> Flag(std::string_view aKey, bool aDefault) const;

  /// Index of the value in the list of allowed names.
  result<std::size_t> Choice(std::string_view aKey,
                             const std::vector<std::string_view>& aNames,
                             std::optional<std::size_t> aDefault = {}) const;

  /// A nested mapping; empty if the key is absent or null.
  result<yaml_mapping> Mapping(std::string_view aKey,
                               std::vector<std::string_view> aAllowed) const;

  /// Calls aVisit for each item of a list and stops at the first error.  An
  /// absent key is an empty list.
  result<void> ForEach(
    std::string_view aKey,
    const std::function<result<void>(const YAML::Node&)>& aVisit) const;

  /// Error at the position of the key's value, or of the mapping if the key is
  /// absent.
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

/// Parses aText as one YAML document.  aFile is used in error messages only.
/// Errors: aKind.
result<YAML::Node>
LoadYaml(const std::string& aFile, const std::string& aText, error_kind aKind);

/// Reads a file into a string.  Errors: aKind.
result<std::string>
ReadFile(const std::string& aFile, error_kind aKind);

/// Parses `250ms`, `2.5s` or `5m`, rounded to milliseconds.  Negative or
/// non-finite numbers and numbers above 1e9 give no value.
std::optional<milliseconds>
ParseDuration(std::string_view aText);

} // namespace catkinloom
