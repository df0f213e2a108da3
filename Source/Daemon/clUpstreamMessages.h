#pragma once

#include "clError.h"
#include "clGroupTable.h"
#include "clHttpMessage.h"
#include "clPromotionSystem.h"

namespace catkinloom {

/// Decodes the report that an instance sends about itself. Errors:
/// UpstreamRefused.
result<instance_report>
DecodeReport(const http_response& aResponse);

/// Returns whether the instance granted a promotion_command.
bool
DecodeGranted(const http_response& aResponse);

/// Returns whether the instance confirms that a connection has ended and
/// nothing runs on it any more.
bool
DecodeEnded(const http_response& aResponse);

/// Returns the term of a data response, or zero if it has none.
term_number
TermOfAnswer(const http_response& aResponse);

/// Returns the end of the instance's log that a data response reports, or the
/// zero position if it has none.
log_position
LogOfAnswer(const http_response& aResponse);

/// Builds a status request. The instance may delay the response until its log
/// reaches aPosition in aTerm, at most for aMaxWait.
http_request
EncodeStatus(term_number aTerm, log_position aPosition, milliseconds aMaxWait);

/// Builds the request for a promotion command. aLeader is the name of the
/// instance to replicate from; only Follow uses it.
http_request
EncodeCommand(const promotion_command& aCommand, const std::string& aLeader);

} // namespace catkinloom
