#include "clCommandOutput.h"

#include <boost/json/serialize.hpp>
#include <fmt/format.h>

namespace catkinloom {

namespace json = boost::json;

void
PrintError(const std::string& aDetail)
{
  fmt::print(stderr, "catkinloom: {}\n", aDetail);
}

exit_code
ReportError(const error& aError)
{
  PrintError(aError.mDetail);
  return aError.mKind == error_kind::UpstreamUnreachable
           ? exit_code::Unreachable
           : exit_code::Refused;
}

std::string
FormatCell(const json::object& aRow, std::string_view aName)
{
  const json::value* value = aRow.if_contains(aName);
  if (value == nullptr) {
    return "-";
  }
  if (value->is_string()) {
    return value->get_string().empty() ? "-" : std::string(value->get_string());
  }
  return json::serialize(*value);
}

std::string
FormatYesNo(const json::object& aRow, std::string_view aName)
{
  return FormatCell(aRow, aName) == "true" ? "yes" : "no";
}

} // namespace catkinloom
