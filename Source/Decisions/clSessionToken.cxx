#include "clSessionToken.h"

#include <charconv>

namespace catkinloom {

namespace {

constexpr std::string_view kNewSessionText = "new";

/// Maximum number of groups that Parse accepts in a token. RaiseFloor does not
/// enforce it.
constexpr std::size_t kMaxFloors = 24;

bool
ParseNumber(std::string_view aText, std::uint64_t& aNumber)
{
  const char* end = aText.data() + aText.size();
  const auto [stop, failure] = std::from_chars(aText.data(), end, aNumber);
  return failure == std::errc{} && stop == end && !aText.empty();
}

error
BadTokenEntry(std::string_view aEntry)
{
  return { error_kind::BadSessionToken,
           "Session token entry '" + std::string(aEntry.substr(0, 40)) +
             "' is not group=term.index. Send the last token unchanged, or "
             "'new' for a new session." };
}

} // namespace

result<session_token>
session_token::Parse(std::string_view aText)
{
  session_token token;
  if (aText.size() > kMaxBytes) {
    return error{ error_kind::BadSessionToken,
                  "Session token exceeds 2048 bytes. Send the last token "
                  "unchanged, or 'new' for a new session." };
  }
  if (aText == kNewSessionText) {
    return token;
  }
  while (!aText.empty()) {
    const std::string_view entry = aText.substr(0, aText.find(','));
    aText.remove_prefix(std::min(aText.size(), entry.size() + 1));
    const std::size_t equals = entry.find('=');
    const std::size_t dot = entry.find('.', equals + 1);
    if (equals == 0 || equals == entry.npos || dot == entry.npos) {
      return BadTokenEntry(entry);
    }
    log_position position;
    if (!ParseNumber(entry.substr(equals + 1, dot - equals - 1),
                     position.mTerm) ||
        !ParseNumber(entry.substr(dot + 1), position.mIndex)) {
      return BadTokenEntry(entry);
    }
    token.RaiseFloor(entry.substr(0, equals), position);
  }
  if (token.mFloors.empty() || token.mFloors.size() > kMaxFloors) {
    return error{ error_kind::BadSessionToken,
                  "Session token does not name 1 to 24 groups. Send the last "
                  "token unchanged, or 'new' for a new session." };
  }
  return token;
}

log_position
session_token::Floor(std::string_view aGroup) const
{
  for (const floor_entry& entry : mFloors) {
    if (entry.mGroup == aGroup) {
      return entry.mPosition;
    }
  }
  return {};
}

void
session_token::RaiseFloor(std::string_view aGroup, log_position aPosition)
{
  for (floor_entry& entry : mFloors) {
    if (entry.mGroup == aGroup) {
      entry.mPosition = std::max(entry.mPosition, aPosition);
      return;
    }
  }
  mFloors.push_back({ std::string(aGroup), aPosition });
}

std::string
session_token::Text() const
{
  if (mFloors.empty()) {
    return std::string(kNewSessionText);
  }
  std::string text;
  for (const floor_entry& entry : mFloors) {
    if (!text.empty()) {
      text += ',';
    }
    text += entry.mGroup;
    text += '=';
    text += std::to_string(entry.mPosition.mTerm);
    text += '.';
    text += std::to_string(entry.mPosition.mIndex);
  }
  return text;
}

} // namespace catkinloom
