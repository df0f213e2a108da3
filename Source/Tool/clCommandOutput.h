#pragma once

#include "clCommand.h"

#include <boost/json/object.hpp>
#include <string>
#include <string_view>

namespace catkinloom {

/// Prints a message to standard error, prefixed with the program name.
void
PrintError(const std::string& aDetail);

/// Prints an error and returns the corresponding exit code.
exit_code
ReportError(const error& aError);

/// Formats a JSON member as table text; `-` if it is absent or empty.
std::string
FormatCell(const boost::json::object& aRow, std::string_view aName);

/// Formats a JSON boolean as `yes` or `no`; `no` if it is absent.
std::string
FormatYesNo(const boost::json::object& aRow, std::string_view aName);

} // namespace catkinloom
