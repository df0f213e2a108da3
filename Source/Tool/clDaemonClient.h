#pragma once

#include "clClock.h"
#include "clError.h"
#include "clHttpMessage.h"

#include <boost/json/value.hpp>
#include <string>

namespace catkinloom {

/// Makes one call to a daemon and waits for its answer.
/// Errors: UpstreamUnreachable.
result<http_response>
CallDaemon(const std::string& aAddress,
           const http_request& aRequest,
           milliseconds aTimeout);

/// Gets a JSON document from a daemon.  Errors: UpstreamUnreachable, or
/// BadRequest with what the daemon said.
result<boost::json::value>
FetchDocument(const std::string& aAddress, const std::string& aTarget);

/// Escapes everything but letters and digits for a request target.
std::string
PercentEncode(std::string_view aText);

} // namespace catkinloom
