#include "clCallerRequest.h"

#include "clNearestName.h"
#include "clProxyState.h"

#include <boost/json/serialize.hpp>
#include <charconv>
#include <fmt/format.h>

namespace catkinloom {

namespace {

constexpr std::string_view kCallerPathPrefix = "/v1/";
constexpr std::string_view kCookieName = "catkinloom-session=";
constexpr std::size_t kMaxIdempotencyKeyBytes = 128;

struct request_path
{
  std::string_view mGroup;
  std::string_view mRequest;
};

result<request_path>
SplitPath(std::string_view aTarget)
{
  const error malformedPath{
    error_kind::BadRequest,
    "The request path must have the form /v1/GROUP/REQUEST."
  };
  aTarget = aTarget.substr(0, aTarget.find('?'));
  if (!aTarget.starts_with(kCallerPathPrefix)) {
    return malformedPath;
  }
  aTarget.remove_prefix(kCallerPathPrefix.size());
  const std::size_t slash = aTarget.find('/');
  if (slash == std::string_view::npos || slash == 0 ||
      slash + 1 == aTarget.size()) {
    return malformedPath;
  }
  return request_path{ aTarget.substr(0, slash), aTarget.substr(slash + 1) };
}

result<milliseconds>
ParseDeadline(const http_request& aRequest, const limit_settings& aLimits)
{
  const std::string_view text = GetHeader(aRequest, header::kDeadline);
  if (text.empty()) {
    return aLimits.mDefaultDeadline;
  }
  std::uint32_t deadlineMs = 0;
  const char* end = text.data() + text.size();
  const auto [stop, failure] = std::from_chars(text.data(), end, deadlineMs);
  if (failure != std::errc{} || stop != end || deadlineMs == 0) {
    return error{
      error_kind::BadRequest,
      "Catkinloom-Deadline-Ms must be a whole number of milliseconds from "
      "1 to 4294967295."
    };
  }
  return std::min(milliseconds(deadlineMs), aLimits.mMaxDeadline);
}

error
UnknownRequest(const request_table& aRequests, std::string_view aName)
{
  std::vector<std::string_view> names;
  for (const manifest_request& row : aRequests.Rows()) {
    names.push_back(row.mName);
  }
  return { error_kind::UnknownRequest,
           fmt::format("The manifest declares no request '{}'.{}",
                       aName.substr(0, 64),
                       NearestNameHint(aName.substr(0, 64), names)) };
}

result<void>
CheckIdempotencyKey(const caller_request& aRequest)
{
  if (aRequest.mIdempotencyKey.size() > kMaxIdempotencyKeyBytes) {
    return error{
      error_kind::BadRequest,
      "Idempotency-Key is longer than 128 bytes; send a shorter key."
    };
  }
  if (!aRequest.mDeclared.mRepeatable && aRequest.mIdempotencyKey.empty()) {
    return error{ error_kind::IdempotencyKeyRequired,
                  "Request '" + aRequest.mDeclared.mName +
                    "' must not run more than once; send an Idempotency-Key "
                    "header that is unique to this request." };
  }
  return boost::outcome_v2::success();
}

http_response
EncodeFailure(const caller_failure& aFailure)
{
  const std::string_view name = ErrorName(aFailure.mError.mKind);
  const std::string_view outcome = OutcomeName(aFailure.mOutcome);
  const boost::json::object body{ { "error", name },
                                  { "outcome", outcome },
                                  { "detail", aFailure.mError.mDetail } };
  http_response response = MakeResponse(HttpStatusOf(aFailure.mError.mKind),
                                        boost::json::serialize(body));
  SetHeader(response, header::kError, name);
  SetHeader(response, header::kOutcome, outcome);
  return response;
}

} // namespace

std::string_view
SessionTokenOf(const http_request& aRequest)
{
  const std::string_view text = GetHeader(aRequest, header::kSession);
  if (!text.empty()) {
    return text;
  }
  std::string_view cookies = GetHeader(aRequest, "Cookie");
  const std::size_t start = cookies.find(kCookieName);
  if (start == std::string_view::npos) {
    return {};
  }
  cookies.remove_prefix(start + kCookieName.size());
  return cookies.substr(0, cookies.find(';'));
}

void
SetSession(http_response& aResponse, const std::string& aText)
{
  SetHeader(aResponse, header::kSession, aText);
  SetHeader(aResponse,
            "Set-Cookie",
            std::string(kCookieName) + aText + "; Path=/; HttpOnly");
}

result<caller_request>
ParseCallerRequest(const proxy_state& aState, http_request& aRequest)
{
  caller_request request;
  request.mArrivedAt = aState.Now();
  BOOST_OUTCOME_TRY(
    const request_path path,
    SplitPath({ aRequest.target().data(), aRequest.target().size() }));
  const auto group = aState.mGroups.Find(path.mGroup);
  if (!group) {
    return error{ error_kind::UnknownGroup,
                  fmt::format("The manifest declares no group '{}'.",
                              path.mGroup.substr(0, 64)) };
  }
  const manifest_request* declared = aState.mRequests.Find(path.mRequest);
  if (declared == nullptr) {
    return UnknownRequest(aState.mRequests, path.mRequest);
  }
  request.mGroup = *group;
  request.mGroupName = path.mGroup;
  request.mDeclared = *declared;
  const std::string_view session = SessionTokenOf(aRequest);
  request.mHasSession = !session.empty();
  if (request.mHasSession) {
    BOOST_OUTCOME_TRY(request.mSession, session_token::Parse(session));
  }
  request.mIdempotencyKey = GetHeader(aRequest, header::kIdempotencyKey);
  BOOST_OUTCOME_TRY(CheckIdempotencyKey(request));
  BOOST_OUTCOME_TRY(const milliseconds deadline,
                    ParseDeadline(aRequest, aState.mSettings.mLimits));
  request.mDeadline = request.mArrivedAt + deadline;
  request.mCallerClass =
    aState.mCallers.Find(GetHeader(aRequest, header::kCaller));
  request.mBody = std::move(aRequest.body());
  return request;
}

http_response
EncodeCallerResult(const caller_request& aRequest, const caller_result& aResult)
{
  if (!aResult) {
    http_response response = EncodeFailure(aResult.error());
    if (aRequest.mHasSession) {
      SetSession(response, aRequest.mSession.Text());
    }
    return response;
  }
  http_response response = MakeResponse(200, aResult.value().mBody);
  SetHeader(response, header::kOutcome, OutcomeName(request_outcome::Done));
  SetHeader(response, header::kUpstream, aResult.value().mInstance);
  SetSession(response, aRequest.mSession.Text());
  return response;
}

http_response
EncodeRefusal(const error& aError)
{
  return EncodeFailure({ aError, request_outcome::NotRun });
}

} // namespace catkinloom
