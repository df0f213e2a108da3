#include "clUpstreamMessages.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <fmt/format.h>

namespace catkinloom {

namespace {

/// Returns the value of a number header, or zero if it is absent or malformed.
std::uint64_t
ParseNumberHeader(const http_response& aResponse, std::string_view aName)
{
  const std::string_view text = GetHeader(aResponse, aName);
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

/// Reads a number field. Returns false if it is absent or cannot be represented
/// as a Number.
template<class Number>
bool
ReadNumber(const boost::json::object& aObject,
           std::string_view aName,
           Number& aNumber)
{
  const auto* value = aObject.if_contains(aName);
  if (value == nullptr || !value->is_number()) {
    return false;
  }
  boost::json::error_code code;
  aNumber = value->to_number<Number>(code);
  return !code;
}

/// Returns whether the body is a JSON object whose field aName is true.
bool
IsFlagSet(const http_response& aResponse, std::string_view aName)
{
  boost::json::error_code code;
  const boost::json::value body = boost::json::parse(aResponse.body(), code);
  if (code || !body.is_object()) {
    return false;
  }
  const auto* flag = body.get_object().if_contains(aName);
  return flag != nullptr && flag->is_bool() && flag->get_bool();
}

} // namespace

result<instance_report>
DecodeReport(const http_response& aResponse)
{
  boost::json::error_code code;
  const boost::json::value body = boost::json::parse(aResponse.body(), code);
  const error malformed{ error_kind::UpstreamRefused,
                         "The instance's status report is malformed." };
  if (code || !body.is_object() || aResponse.result_int() != 200) {
    return malformed;
  }
  const boost::json::object& object = body.get_object();
  instance_report report;
  std::int64_t sinceContactMs = 0;
  const bool isComplete =
    ReadNumber(object, "term", report.mTerm) &&
    ReadNumber(object, "log_term", report.mLog.mTerm) &&
    ReadNumber(object, "log_index", report.mLog.mIndex) &&
    ReadNumber(object, "silence_ms", sinceContactMs) &&
    ReadNumber(object, "connections", report.mConnections) &&
    ReadNumber(object, "own_connections", report.mOwnConnections);
  const auto* leads = object.if_contains("leads");
  const auto* follows = object.if_contains("follows");
  if (!isComplete || leads == nullptr || !leads->is_bool() ||
      follows == nullptr || !follows->is_string()) {
    return malformed;
  }
  report.mTimeSincePrimaryContact = milliseconds(sinceContactMs);
  report.mLeads = leads->get_bool();
  report.mFollows = follows->get_string();
  return report;
}

bool
DecodeGranted(const http_response& aResponse)
{
  return IsFlagSet(aResponse, "granted");
}

bool
DecodeEnded(const http_response& aResponse)
{
  return IsFlagSet(aResponse, "ended");
}

term_number
TermOfAnswer(const http_response& aResponse)
{
  return ParseNumberHeader(aResponse, header::kTerm);
}

log_position
LogOfAnswer(const http_response& aResponse)
{
  return { ParseNumberHeader(aResponse, header::kLogTerm),
           ParseNumberHeader(aResponse, header::kLogIndex) };
}

http_request
EncodeStatus(term_number aTerm, log_position aPosition, milliseconds aMaxWait)
{
  return MakeRequest(
    http::verb::get,
    fmt::format("/status?term={}&log_term={}&log_index={}&wait_ms={}",
                aTerm,
                aPosition.mTerm,
                aPosition.mIndex,
                aMaxWait.count()));
}

http_request
EncodeCommand(const promotion_command& aCommand, const std::string& aLeader)
{
  boost::json::object body{ { "term", aCommand.mTerm } };
  if (aCommand.mVerb == promotion_verb::Follow) {
    body["leader"] = aLeader;
  } else {
    body["owner"] = aCommand.mOwner;
  }
  return MakeRequest(http::verb::post,
                     fmt::format("/control/{}", VerbName(aCommand.mVerb)),
                     boost::json::serialize(body));
}

} // namespace catkinloom
