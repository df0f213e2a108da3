#pragma once

#include "clHttpMessage.h"

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace catkinloom {

/// A request target split into its path and its query values.
struct fake_target
{
  std::string mPath;
  std::map<std::string, std::string> mQuery;

  std::uint64_t Number(const std::string& aName) const;
  std::string Text(const std::string& aName) const;
};

fake_target
ParseTarget(std::string_view aTarget);

/// The body as an object; an empty object when it is not one.
boost::json::object
ParseObject(const std::string& aBody);

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
