#pragma once

#include "clError.h"
#include "clLogPosition.h"

#include <string>
#include <string_view>
#include <vector>

namespace catkinloom {

/// What a caller must be able to see: per group the position of its last
/// acknowledged write.  It travels with the caller, so a proxy keeps nothing.
///
/// Text form: `group=term.index`, joined by commas.  The text `new` stands
/// for a session that has written nothing.
class session_token
{
public:
  /// Longest text that is accepted, in bytes.
  static constexpr std::size_t kMaxBytes = 2048;

  /// Reads a token.  Errors: BadSessionToken.
  static result<session_token> Parse(std::string_view aText);

  /// The floor for a group; the zero position when it has none.
  log_position Floor(std::string_view aGroup) const;

  /// Raises the floor of a group; a lower position changes nothing.
  void RaiseFloor(std::string_view aGroup, log_position aPosition);

  std::string Text() const;

private:
  struct floor_entry
  {
    std::string mGroup;
    log_position mPosition;
  };

  std::vector<floor_entry> mFloors;
};

} // namespace catkinloom
