#include "clPlatformClient.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

namespace catkinloom {

namespace {

error
MalformedResponse()
{
  return { error_kind::PlatformUnavailable,
           "The platform's response is malformed or an error; check the "
           "platform and 'platform.addresses' in the settings." };
}

result<boost::json::object>
ParseObject(const http_response& aResponse)
{
  boost::json::error_code code;
  boost::json::value value = boost::json::parse(aResponse.body(), code);
  if (code || !value.is_object()) {
    return MalformedResponse();
  }
  return std::move(value.as_object());
}

result<platform_value>
ParseValue(const boost::json::object& aObject)
{
  const auto* text = aObject.if_contains("value");
  const auto* revision = aObject.if_contains("revision");
  if (text == nullptr || !text->is_string() || revision == nullptr ||
      !revision->is_number()) {
    return MalformedResponse();
  }
  boost::json::error_code code;
  return platform_value{ std::string(text->get_string()),
                         revision->to_number<std::uint64_t>(code) };
}

} // namespace

result<http_response>
platform_client::Call(const http_request& aRequest, milliseconds aTimeout)
{
  const auto& addresses = mState.mSettings.mPlatformAddresses;
  mState.mMetrics.mPlatformCalls.Increment();
  auto response = FetchOnce(mState.mLoop,
                            addresses[mAddressIndex % addresses.size()],
                            aRequest,
                            aTimeout);
  if (!response) {
    mState.mMetrics.mPlatformFailures.Increment();
    ++mAddressIndex;
    return error{ error_kind::PlatformUnavailable, response.error().mDetail };
  }
  return response;
}

result<platform_value>
platform_client::Get(const std::string& aKey)
{
  BOOST_OUTCOME_TRY(const http_response response,
                    Call(MakeRequest(http::verb::get, "/kv?key=" + aKey),
                         mState.mSettings.mPlatformTimeout));
  if (response.result_int() == 404) {
    return platform_value{};
  }
  BOOST_OUTCOME_TRY(const boost::json::object body, ParseObject(response));
  return ParseValue(body);
}

result<swap_outcome>
platform_client::CompareAndSwap(const std::string& aKey,
                                std::uint64_t aExpected,
                                const std::string& aText)
{
  const boost::json::object swapRequest{ { "key", aKey },
                                         { "expected", aExpected },
                                         { "value", aText } };
  BOOST_OUTCOME_TRY(const http_response response,
                    Call(MakeRequest(http::verb::post,
                                     "/kv/cas",
                                     boost::json::serialize(swapRequest)),
                         mState.mSettings.mPlatformTimeout));
  BOOST_OUTCOME_TRY(const boost::json::object body, ParseObject(response));
  if (!body.contains("revision")) {
    return MalformedResponse();
  }
  return response.result_int() == 200 ? swap_outcome::Swapped
                                      : swap_outcome::Conflict;
}

result<std::optional<platform_value>>
platform_client::Watch(const std::string& aKey,
                       std::uint64_t aAfterRevision,
                       milliseconds aMaxWait)
{
  BOOST_OUTCOME_TRY(
    const http_response response,
    Call(MakeRequest(http::verb::get,
                     fmt::format("/kv/watch?prefix={}&after={}&wait_ms={}",
                                 aKey,
                                 aAfterRevision,
                                 aMaxWait.count())),
         mState.mSettings.mPlatformTimeout + aMaxWait));
  BOOST_OUTCOME_TRY(const boost::json::object body, ParseObject(response));
  const auto* changes = body.if_contains("changes");
  if (changes == nullptr || !changes->is_array()) {
    return MalformedResponse();
  }
  if (changes->get_array().empty()) {
    return std::optional<platform_value>();
  }
  const boost::json::value& last = changes->get_array().back();
  if (!last.is_object()) {
    return MalformedResponse();
  }
  BOOST_OUTCOME_TRY(platform_value value, ParseValue(last.get_object()));
  return std::optional<platform_value>(std::move(value));
}

result<std::vector<platform_vm>>
platform_client::ListVms()
{
  BOOST_OUTCOME_TRY(const http_response response,
                    Call(MakeRequest(http::verb::get, "/vms"),
                         mState.mSettings.mPlatformTimeout));
  BOOST_OUTCOME_TRY(const boost::json::object body, ParseObject(response));
  const auto* rows = body.if_contains("vms");
  if (rows == nullptr || !rows->is_array()) {
    return MalformedResponse();
  }
  std::vector<platform_vm> vms;
  for (const boost::json::value& row : rows->get_array()) {
    const auto* name =
      row.is_object() ? row.get_object().if_contains("name") : nullptr;
    const auto* state =
      row.is_object() ? row.get_object().if_contains("state") : nullptr;
    // One row that can't be read must not hide the others.
    if (name == nullptr || !name->is_string() || state == nullptr ||
        !state->is_string()) {
      continue;
    }
    vms.push_back(
      { std::string(name->get_string()), state->get_string() == "leaving" });
  }
  return vms;
}

} // namespace catkinloom
