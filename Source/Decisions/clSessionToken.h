#pragma once

#include "clError.h"
#include "clLogPosition.h"

#include <string>
#include <string_view>
#include <vector>

namespace catkinloom {

/// Lowest log position per group that a caller's reads must observe: the
/// position of its last acknowledged write. The caller sends the token with
/// each request, so that proxies store no session state.
///
/// Text form: `group=term.index`, joined by commas. The text `new` denotes a
/// session without writes.
class session_token
{
public:
  /// Maximum length of the text form, in bytes.
  static constexpr std::size_t kMaxBytes = 2048;

  /// Parses the text form. Errors: BadSessionToken.
  static result<session_token> Parse(std::string_view aText);

  /// Floor of a group; the zero position if it has none.
  log_position Floor(std::string_view aGroup) const;

  /// Raises the floor of a group; a lower position has no effect.
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
