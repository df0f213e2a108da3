#pragma once

#include "clDesiredState.h"
#include "clError.h"
#include "clInstanceEntry.h"

#include <string>
#include <string_view>

namespace catkinloom {

/// Decodes the documents that operators and instances write to the store, and
/// names their keys.
class directory_codec
{
public:
  virtual ~directory_codec() = default;

  /// Prefix of the keys written by operators.
  virtual std::string_view OperatorPrefix() const = 0;
  /// Key of the desired state.
  virtual std::string_view DesiredStateKey() const = 0;
  /// Prefix of the instances' entries; the rest of a key is the instance id.
  virtual std::string_view InstancePrefix() const = 0;

  /// Decodes the desired state.  Errors: BadManifest, with the cause.
  virtual result<desired_state> DecodeDesiredState(
    std::string_view aValue) const = 0;

  /// Decodes an instance's entry.  Errors: BadManifest; the instance of an
  /// invalid entry must not be used.
  virtual result<instance_entry> DecodeInstance(
    std::string_view aId,
    std::string_view aValue) const = 0;
};

} // namespace catkinloom
