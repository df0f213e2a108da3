#pragma once

#include "clHttpMessage.h"

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace catkinloom {

/// A request target split into its path and its decoded query parameters.
struct fake_target
{
  std::string mPath;
  std::map<std::string, std::string> mQuery;

  /// Value of a query parameter; 0 if it is missing or not a number.
  std::uint64_t Number(const std::string& aName) const;
  /// Value of a query parameter; empty if it is missing.
  std::string Text(const std::string& aName) const;
};

fake_target
ParseTarget(std::string_view aTarget);

/// Parses a JSON object; returns an empty object for any other input.
boost::json::object
ParseObject(const std::string& aBody);

/// The Get functions return the default, or an empty or false value, if the
/// field is missing or has another type.
std::uint64_t
GetNumberField(const boost::json::object& aObject,
               std::string_view aName,
               std::uint64_t aDefault = 0);
std::string
GetStringField(const boost::json::object& aObject, std::string_view aName);
bool
GetBoolField(const boost::json::object& aObject, std::string_view aName);

http_response
JsonResponse(unsigned aStatus, const boost::json::object& aObject);

} // namespace catkinloom
