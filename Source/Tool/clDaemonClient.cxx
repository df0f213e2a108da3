#include "clDaemonClient.h"

#include "clEventLoop.h"
#include "clHttpClient.h"

#include <boost/json/parse.hpp>
#include <fmt/format.h>

namespace catkinloom {

namespace {

constexpr milliseconds kDocumentTimeout{ 5000 };

} // namespace

result<http_response>
CallDaemon(const std::string& aAddress,
           const http_request& aRequest,
           milliseconds aTimeout)
{
  event_loop loop;
  result<http_response> response =
    error{ error_kind::UpstreamUnreachable, "request not sent" };
  loop.Spawn([&] {
    response = FetchOnce(loop, aAddress, aRequest, aTimeout);
    loop.Stop();
  });
  loop.Run();
  if (!response) {
    return error{ error_kind::UpstreamUnreachable,
                  "The daemon at " + aAddress + " did not respond (" +
                    response.error().mDetail +
                    "). Check the address and that the daemon is running." };
  }
  return response;
}

result<boost::json::value>
FetchDocument(const std::string& aAddress, const std::string& aTarget)
{
  BOOST_OUTCOME_TRY(const http_response response,
                    CallDaemon(aAddress,
                               MakeRequest(http::verb::get, aTarget),
                               kDocumentTimeout));
  boost::json::error_code code;
  boost::json::value document = boost::json::parse(response.body(), code);
  if (code) {
    return error{ error_kind::UpstreamUnreachable,
                  aAddress +
                    " did not respond with JSON. Check that --daemon names a "
                    "daemon's operator port." };
  }
  if (response.result_int() != 200 && document.is_object()) {
    const auto* detail = document.get_object().if_contains("detail");
    return error{ error_kind::BadRequest,
                  detail != nullptr && detail->is_string()
                    ? std::string(detail->get_string())
                    : response.body() };
  }
  return document;
}

std::string
PercentEncode(std::string_view aText)
{
  std::string escaped;
  for (const char character : aText) {
    const auto byte = static_cast<unsigned char>(character);
    const bool isUnescaped =
      std::isalnum(byte) != 0 ||
      std::string_view("-_.=,").find(character) != std::string_view::npos;
    escaped +=
      isUnescaped ? std::string(1, character) : fmt::format("%{:02X}", byte);
  }
  return escaped;
}

} // namespace catkinloom
