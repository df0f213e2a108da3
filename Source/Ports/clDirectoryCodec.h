#pragma once

#include "clDesiredState.h"
#include "clError.h"
#include "clInstanceEntry.h"

#include <string>
#include <string_view>

namespace catkinloom {

/// Reads what operators and instances write into the store, and tells where.
class directory_codec
{
public:
  virtual ~directory_codec() = default;

  /// Prefix under which operators write.
  virtual std::string_view OperatorPrefix() const = 0;
  /// Key of the desired state.
  virtual std::string_view DesiredStateKey() const = 0;
  /// Prefix of the instances' entries; the rest of the key is the id.
  virtual std::string_view InstancePrefix() const = 0;

  /// Errors: BadManifest, naming the field.
  virtual result<desired_state> DecodeDesiredState(
    std::string_view aValue) const = 0;

  /// Errors: BadManifest; such an entry names no instance to use.
  virtual result<instance_entry> DecodeInstance(
    std::string_view aId,
    std::string_view aValue) const = 0;
};

} // namespace catkinloom
