#pragma once

#include "clClock.h"
#include "clError.h"
#include "clHttpMessage.h"

#include <boost/json/value.hpp>
#include <string>

namespace catkinloom {

/// Sends one request to a daemon and waits for the response.
/// Errors: UpstreamUnreachable.
result<http_response>
CallDaemon(const std::string& aAddress,
           const http_request& aRequest,
           milliseconds aTimeout);

/// Fetches a JSON document from a daemon.  Errors: UpstreamUnreachable;
/// BadRequest with the daemon's error detail.
result<boost::json::value>
FetchDocument(const std::string& aAddress, const std::string& aTarget);

/// Percent-encodes every byte except letters, digits and `-_.=,`.
std::string
PercentEncode(std::string_view aText);

} // namespace catkinloom
