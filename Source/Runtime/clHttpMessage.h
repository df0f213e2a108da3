#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>
#include <string_view>

namespace catkinloom {

namespace http = boost::beast::http;

using http_request = http::request<http::string_body>;
using http_response = http::response<http::string_body>;

/// HTTP headers between callers, daemons and instances.
namespace header {
constexpr std::string_view kSession = "Catkinloom-Session";
constexpr std::string_view kDeadline = "Catkinloom-Deadline-Ms";
constexpr std::string_view kCaller = "Catkinloom-Caller";
constexpr std::string_view kOutcome = "Catkinloom-Outcome";
constexpr std::string_view kUpstream = "Catkinloom-Upstream";
constexpr std::string_view kError = "Catkinloom-Error";
constexpr std::string_view kIdempotencyKey = "Idempotency-Key";
constexpr std::string_view kTerm = "Upstream-Term";
constexpr std::string_view kLogTerm = "Upstream-Log-Term";
constexpr std::string_view kLogIndex = "Upstream-Log-Index";
constexpr std::string_view kConnectionState = "Upstream-Connection";
constexpr std::string_view kClient = "Upstream-Client";
/// Id of a request to an instance, which its response repeats.
constexpr std::string_view kRequestId = "Upstream-Request-Id";
}

/// Value of a header, or an empty view when it is absent.
template<class Message>
std::string_view
GetHeader(const Message& aMessage, std::string_view aName)
{
  const auto found = aMessage.find({ aName.data(), aName.size() });
  if (found == aMessage.end()) {
    return {};
  }
  return { found->value().data(), found->value().size() };
}

template<class Message>
void
SetHeader(Message& aMessage, std::string_view aName, std::string_view aValue)
{
  aMessage.set(boost::beast::string_view(aName.data(), aName.size()),
               boost::beast::string_view(aValue.data(), aValue.size()));
}

/// Creates a request that keeps the connection open.
inline http_request
MakeRequest(http::verb aVerb, std::string_view aTarget, std::string aBody = {})
{
  http_request request{ aVerb, { aTarget.data(), aTarget.size() }, 11 };
  request.keep_alive(true);
  request.body() = std::move(aBody);
  request.prepare_payload();
  return request;
}

/// Creates a response with a JSON body.
inline http_response
MakeResponse(unsigned aStatus, std::string aBody)
{
  http_response response{ http::int_to_status(aStatus), 11 };
  response.set(http::field::content_type, "application/json");
  response.body() = std::move(aBody);
  return response;
}

} // namespace catkinloom
