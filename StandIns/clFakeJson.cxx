#include "clFakeJson.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

namespace catkinloom {

namespace {

/// Decodes the %XX escapes of a query value.
std::string
DecodePercent(std::string_view aText)
{
  std::string text;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] != '%' || i + 2 >= aText.size()) {
      text += aText[i];
      continue;
    }
    unsigned code = 0;
    std::from_chars(aText.data() + i + 1, aText.data() + i + 3, code, 16);
    text += static_cast<char>(code);
    i += 2;
  }
  return text;
}

} // namespace

std::uint64_t
fake_target::Number(const std::string& aName) const
{
  const std::string text = Text(aName);
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

std::string
fake_target::Text(const std::string& aName) const
{
  const auto found = mQuery.find(aName);
  return found == mQuery.end() ? std::string() : found->second;
}

fake_target
ParseTarget(std::string_view aTarget)
{
  fake_target target;
  const std::size_t queryStart = aTarget.find('?');
  target.mPath = aTarget.substr(0, queryStart);
  std::string_view rest =
    queryStart == std::string_view::npos ? "" : aTarget.substr(queryStart + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos) {
      target.mQuery[std::string(pair.substr(0, equals))] =
        DecodePercent(pair.substr(equals + 1));
    }
  }
  return target;
}

boost::json::object
ParseObject(const std::string& aBody)
{
  boost::json::error_code code;
  boost::json::value value = boost::json::parse(aBody, code);
  if (code || !value.is_object()) {
    return {};
  }
  return std::move(value.as_object());
}

std::uint64_t
GetNumberField(const boost::json::object& aObject,
               std::string_view aName,
               std::uint64_t aDefault)
{
  const auto* value = aObject.if_contains(aName);
  boost::json::error_code code;
  return value != nullptr && value->is_number()
           ? value->to_number<std::uint64_t>(code)
           : aDefault;
}

std::string
GetStringField(const boost::json::object& aObject, std::string_view aName)
{
  const auto* value = aObject.if_contains(aName);
  return value != nullptr && value->is_string()
           ? std::string(value->get_string())
           : std::string();
}

bool
GetBoolField(const boost::json::object& aObject, std::string_view aName)
{
  const auto* value = aObject.if_contains(aName);
  return value != nullptr && value->is_bool() && value->get_bool();
}

http_response
JsonResponse(unsigned aStatus, const boost::json::object& aObject)
{
  return MakeResponse(aStatus, boost::json::serialize(aObject));
}

} // namespace catkinloom
