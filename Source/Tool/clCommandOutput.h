#pragma once

#include "clCommand.h"

#include <boost/json/object.hpp>
#include <string>
#include <string_view>

namespace catkinloom {

/// Prints one line to standard error.
void
PrintError(const std::string& aDetail);

/// Prints an error and gives the exit code that stands for it.
exit_code
ReportError(const error& aError);

/// A JSON member as a person reads it.
std::string
FormatCell(const boost::json::object& aRow, std::string_view aName);

/// A JSON flag as `yes` or `no`.
std::string
FormatYesNo(const boost::json::object& aRow, std::string_view aName);

} // namespace catkinloom
