#pragma once

#include "clError.h"

#include <boost/asio/ip/tcp.hpp>
#include <string_view>

namespace catkinloom {

/// Parses `IP:port`; the port must not be 0.  Errors: BadSettings.
result<boost::asio::ip::tcp::endpoint>
ParseEndpoint(std::string_view aText);

} // namespace catkinloom
