#include "clInstanceExchange.h"

#include "clLog.h"

namespace catkinloom {

exchange_result
ExchangeWithInstance(http_client_connection& aConnection,
                     http_request& aRequest,
                     std::string_view aId,
                     nanoseconds aTimeout)
{
  SetHeader(aRequest, header::kRequestId, aId);
  exchange_result outcome = aConnection.Exchange(aRequest, aTimeout);
  if (!outcome.IsOk()) {
    return outcome;
  }
  const std::string_view responseId =
    GetHeader(outcome.mResponse, header::kRequestId);
  if (responseId == aId) {
    return outcome;
  }
  Log(log_level::Warning,
      "upstream",
      "Response does not belong to the request; connection closed. "
      "request={} response={} status={}",
      aId,
      responseId,
      outcome.mResponse.result_int());
  outcome.mFailure = "the response does not belong to the request";
  outcome.mResponse = {};
  aConnection.Close();
  return outcome;
}

} // namespace catkinloom
