#include "clRequestService.h"

#include "clForwardProgress.h"
#include "clLog.h"
#include "clPlacement.h"

#include <algorithm>

namespace catkinloom {

namespace {

constexpr std::string_view kCallerPathPrefix = "/v1/";

std::string_view
RequestOfTarget(std::string_view aTarget)
{
  const std::string_view path = aTarget.substr(0, aTarget.find('?'));
  return path.substr(path.rfind('/') + 1);
}

peer_request
ToPeerRequest(const proxy_state& aState,
              const http_request& aRequest,
              const std::string& aGroup)
{
  peer_request request;
  request.mGroup = aGroup;
  request.mRequest =
    RequestOfTarget({ aRequest.target().data(), aRequest.target().size() });
  request.mSession = SessionTokenOf(aRequest);
  request.mIdempotencyKey = GetHeader(aRequest, header::kIdempotencyKey);
  request.mCaller = GetHeader(aRequest, header::kCaller);
  request.mDeadlineMs = static_cast<std::uint32_t>(
    aState.mSettings.mLimits.mDefaultDeadline.count());
  const std::string text(GetHeader(aRequest, header::kDeadline));
  if (!text.empty()) {
    request.mDeadlineMs =
      static_cast<std::uint32_t>(std::strtoul(text.c_str(), nullptr, 10));
  }
  request.mBody = aRequest.body();
  return request;
}

http_request
FromPeerRequest(const peer_request& aRequest)
{
  http_request request =
    MakeRequest(http::verb::post,
                "/v1/" + aRequest.mGroup + "/" + aRequest.mRequest,
                aRequest.mBody);
  const std::pair<std::string_view, const std::string&> headers[] = {
    { header::kSession, aRequest.mSession },
    { header::kIdempotencyKey, aRequest.mIdempotencyKey },
    { header::kCaller, aRequest.mCaller },
  };
  for (const auto& [name, value] : headers) {
    if (!value.empty()) {
      SetHeader(request, name, value);
    }
  }
  SetHeader(request, header::kDeadline, std::to_string(aRequest.mDeadlineMs));
  return request;
}

http_response
FromPeerAnswer(const peer_answer& aAnswer)
{
  http_response response = MakeResponse(aAnswer.mStatus, aAnswer.mBody);
  const std::pair<std::string_view, const std::string&> headers[] = {
    { header::kOutcome, aAnswer.mOutcome },
    { header::kError, aAnswer.mError },
    { header::kUpstream, aAnswer.mUpstream },
  };
  for (const auto& [name, value] : headers) {
    if (!value.empty()) {
      SetHeader(response, name, value);
    }
  }
  if (!aAnswer.mSession.empty()) {
    SetSession(response, aAnswer.mSession);
  }
  return response;
}

/// Live proxies that serve the group and are not draining; those in this
/// proxy's availability zone come first.
std::vector<manifest_proxy>
FindServingProxies(const proxy_state& aState,
                   peer_table& aPeers,
                   std::string_view aGroup)
{
  std::vector<std::string_view> names;
  for (const manifest_proxy& proxy : aState.mManifest.mProxies) {
    names.push_back(proxy.mName);
  }
  const auto proxiesPerGroup =
    ProxiesPerGroup(static_cast<std::uint32_t>(names.size()));
  std::vector<manifest_proxy> proxies;
  for (const peer_row& row : aPeers.Rows()) {
    const bool serves =
      PlacementRank(aGroup, row.mDeclared.mName, names) < proxiesPerGroup;
    if (serves && !row.mDraining && aPeers.IsLive(row, aState.Now())) {
      proxies.push_back(row.mDeclared);
    }
  }
  std::stable_partition(
    proxies.begin(), proxies.end(), [&](const manifest_proxy& aProxy) {
      return aProxy.mZone == aState.mSettings.mZone;
    });
  return proxies;
}

} // namespace

std::string_view
GroupOfTarget(std::string_view aTarget)
{
  if (!aTarget.starts_with(kCallerPathPrefix)) {
    return {};
  }
  aTarget.remove_prefix(kCallerPathPrefix.size());
  return aTarget.substr(0, aTarget.find('/'));
}

request_service::request_service(proxy_state& aState,
                                 upstream_directory& aDirectory,
                                 peer_monitor& aPeers)
  : mState(aState)
  , mPeers(aPeers)
  , mReads(aState, aDirectory)
  , mWrites(aState, aDirectory)
{
}

http_response
request_service::Handle(http_request& aRequest)
{
  const time_point start = mState.Now();
  const std::string group(
    GroupOfTarget({ aRequest.target().data(), aRequest.target().size() }));
  const auto& groups = mState.mManifest.mGroups;
  const bool isPlacedLocally = mState.mGroups.Find(group).has_value();
  const bool isDeclared =
    !isPlacedLocally &&
    std::binary_search(groups.begin(),
                       groups.end(),
                       manifest_group{ group, {}, {} },
                       [](const auto& aLeft, const auto& aRight) {
                         return aLeft.mName < aRight.mName;
                       });
  http_response response =
    isDeclared ? Forward(aRequest, group) : Serve(aRequest);
  CountOutcome(response, start);
  return response;
}

http_response
request_service::Serve(http_request& aRequest)
{
  if (mState.mManifestVersion == 0) {
    return EncodeRefusal(
      { error_kind::NotReady,
        "This proxy has no manifest yet; send the request to another proxy." });
  }
  mState.mRetryBudget.OnRequest();
  auto request = ParseCallerRequest(mState, aRequest);
  if (!request) {
    return EncodeRefusal(request.error());
  }
  const bool isRead = request.value().mDeclared.mKind == request_kind::Read;
  const caller_result result =
    isRead ? mReads.Serve(request.value()) : mWrites.Serve(request.value());
  return EncodeCallerResult(request.value(), result);
}

void
request_service::CountOutcome(const http_response& aResponse, time_point aStart)
{
  const std::string_view outcome = GetHeader(aResponse, header::kOutcome);
  daemon_metrics& metrics = mState.mMetrics;
  if (outcome == OutcomeName(request_outcome::Done)) {
    metrics.mRequestsDone.Increment();
  } else if (outcome == OutcomeName(request_outcome::Unknown)) {
    metrics.mRequestsUnknown.Increment();
  } else {
    metrics.mRequestsNotRun.Increment();
  }
  const std::chrono::duration<double> elapsed = mState.Now() - aStart;
  metrics.mRequestSeconds.Observe(elapsed.count());
}

http_response
request_service::Forward(http_request& aRequest, const std::string& aGroup)
{
  const peer_request request = ToPeerRequest(mState, aRequest, aGroup);
  const manifest_request* declared = mState.mRequests.Find(request.mRequest);
  // The other proxy may know a newer manifest, in which the request is declared
  // as not repeatable.
  forward_progress progress(declared != nullptr && declared->mRepeatable);
  const auto proxies = FindServingProxies(mState, mPeers.Peers(), aGroup);
  for (const manifest_proxy& proxy : proxies) {
    Log(log_level::Decision,
        "route",
        "Request forwarded; the other proxy serves it. group={} request={} "
        "proxy={}",
        aGroup,
        request.mRequest,
        proxy.mName);
    mState.mMetrics.mRequestsForwarded.Increment();
    const auto answer =
      mPeers.Network().Forward(proxy.mPeerAddress,
                               request,
                               milliseconds(request.mDeadlineMs) +
                                 mState.mSettings.mTiming.mConnectTimeout);
    if (answer) {
      return FromPeerAnswer(answer.value());
    }
    progress.RecordFailure(answer.error().mKind);
    if (!progress.MayContinue()) {
      break;
    }
  }
  if (progress.Outcome() == request_outcome::NotRun) {
    return EncodeRefusal({ error_kind::NoCurrentPrimary,
                           "No live proxy that serves group " + aGroup +
                             " responded; send the request again." });
  }
  http_response response = EncodeRefusal(
    { error_kind::OutcomeUnknown,
      "The proxy that serves the group did not respond. Send the request again "
      "with the same Idempotency-Key to learn its outcome." });
  SetHeader(response, header::kOutcome, OutcomeName(request_outcome::Unknown));
  return response;
}

peer_answer
request_service::HandleForwarded(const peer_request& aRequest)
{
  http_request request = FromPeerRequest(aRequest);
  const http_response response = Serve(request);
  peer_answer answer;
  answer.mStatus = static_cast<std::uint16_t>(response.result_int());
  answer.mBody = response.body();
  answer.mSession = GetHeader(response, header::kSession);
  answer.mOutcome = GetHeader(response, header::kOutcome);
  answer.mError = GetHeader(response, header::kError);
  answer.mUpstream = GetHeader(response, header::kUpstream);
  return answer;
}

} // namespace catkinloom
