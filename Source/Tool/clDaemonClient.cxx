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
    error{ error_kind::UpstreamUnreachable, "not called" };
  loop.Spawn([&] {
    response = FetchOnce(loop, aAddress, aRequest, aTimeout);
    loop.Stop();
  });
  loop.Run();
  if (!response) {
    return error{ error_kind::UpstreamUnreachable,
                  "The daemon at " + aAddress + " did not answer (" +
                    response.error().mDetail +
                    "). Check --daemon and that it runs." };
  }
  return response;
}

result<boost::json::value>
GetDocument(const std::string& aAddress, const std::string& aTarget)
{
  BOOST_OUTCOME_TRY(const http_response response,
                    CallDaemon(aAddress,
                               MakeRequest(http::verb::get, aTarget),
                               kDocumentTimeout));
  boost::json::error_code code;
  boost::json::value document = boost::json::parse(response.body(), code);
  if (code) {
    return error{ error_kind::UpstreamUnreachable,
                  aAddress + " does not answer like a daemon's operators' "
                             "port." };
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
EscapeTarget(std::string_view aText)
{
  std::string escaped;
  for (const char letter : aText) {
    const auto byte = static_cast<unsigned char>(letter);
    const bool plain =
      std::isalnum(byte) != 0 ||
      std::string_view("-_.=,").find(letter) != std::string_view::npos;
    escaped += plain ? std::string(1, letter) : fmt::format("%{:02X}", byte);
  }
  return escaped;
}

} // namespace catkinloom
