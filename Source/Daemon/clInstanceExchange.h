#pragma once

#include "clHttpClient.h"

#include <string_view>

namespace catkinloom {

/// Sends a request with an id to an instance and reads its response.  A
/// response that does not repeat the id belongs to another request: the
/// exchange fails, and the connection is closed.  aId must be unique among the
/// requests on the connection.
exchange_result
ExchangeWithInstance(http_client_connection& aConnection,
                     http_request& aRequest,
                     std::string_view aId,
                     nanoseconds aTimeout);

} // namespace catkinloom
