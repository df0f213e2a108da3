#pragma once

#include "clError.h"
#include "clGroupTable.h"
#include "clHttpMessage.h"
#include "clPromotionSystem.h"

namespace catkinloom {

/// Reads an instance's report about itself.  Errors: UpstreamRefused.
result<instance_report>
DecodeReport(const http_response& aResponse);

/// True when the instance did as a promotion_command told.
bool
DecodeGranted(const http_response& aResponse);

/// True when the instance says that a connection has ended for good.
bool
DecodeEnded(const http_response& aResponse);

/// Term that a data answer was given under; zero when it names none.
term_number
TermOfAnswer(const http_response& aResponse);

/// Log end that a data answer reports.
log_position
LogOfAnswer(const http_response& aResponse);

/// Asks for a report; the instance may hold the answer until its log reaches
/// aPosition in aTerm, or until aMaxWait has passed.
http_request
EncodeStatus(term_number aTerm, log_position aPosition, milliseconds aMaxWait);

/// aLeader is the name of the instance to follow; empty but for Follow.
http_request
EncodeCommand(const promotion_command& aCommand, const std::string& aLeader);

} // namespace catkinloom
