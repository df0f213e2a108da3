#include "clOperatorService.h"

#include "clCallerRequest.h"
#include "clLog.h"
#include "clManifestReader.h"
#include "clReadService.h"

#include <boost/json/serialize.hpp>
#include <charconv>

namespace catkinloom {

namespace json = boost::json;

namespace {

http_response
JsonResponse(const json::value& aValue)
{
  return MakeResponse(200, json::serialize(aValue));
}

/// Value of a query parameter; empty if it is absent.
std::string_view
QueryParameter(std::string_view aTarget, std::string_view aName)
{
  std::size_t start = aTarget.find('?');
  while (start != std::string_view::npos) {
    std::string_view pair = aTarget.substr(start + 1);
    pair = pair.substr(0, pair.find('&'));
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == aName) {
      return pair.substr(equals + 1);
    }
    start = aTarget.find('&', start + 1);
  }
  return {};
}

std::string_view
InstanceState(const instance_row& aRow)
{
  if (aRow.mLeaving) {
    return "leaving";
  }
  if (aRow.mFailingSince) {
    return "failing";
  }
  return aRow.mReport ? "answering" : "unknown";
}

json::object
InstanceToJson(const instance_row& aRow, const upstream_link* aLink)
{
  const instance_report report = aRow.mReport.value_or(instance_report{});
  json::object row{
    { "name", aRow.mDeclared.mName },
    { "zone", aRow.mDeclared.mZone },
    { "state", InstanceState(aRow) },
    { "leads", report.mLeads },
    { "term", report.mTerm },
    { "log_term", report.mLog.mTerm },
    { "log_index", report.mLog.mIndex },
    { "silence_ms", report.mTimeSincePrimaryContact.count() },
    { "connections", report.mConnections },
    { "in_flight", aRow.mInFlight },
    { "answer_us",
      std::chrono::duration_cast<std::chrono::microseconds>(aRow.mResponseTime)
        .count() },
  };
  if (aLink != nullptr) {
    row["open"] = aLink->mPool->Open();
    row["share"] = aLink->mPool->Share();
    row["lingering"] = aLink->mPool->PendingRelease();
    row["waiting"] = aLink->mPool->QueueLength();
  }
  return row;
}

std::string_view
ActionName(route_action aAction)
{
  switch (aAction) {
    case route_action::UseReplica:
      return "replica";
    case route_action::UsePrimary:
      return "primary";
    case route_action::Wait:
      return "wait";
  }
  return "wait";
}

} // namespace

operator_service::operator_service(proxy_state& aState,
                                   manifest_synchronizer& aManifest,
                                   peer_monitor& aPeers,
                                   upstream_directory& aDirectory,
                                   drain_handler aDrain)
  : mState(aState)
  , mManifest(aManifest)
  , mPeers(aPeers)
  , mDirectory(aDirectory)
  , mDrain(std::move(aDrain))
{
}

const std::vector<operator_service::operator_route>&
operator_service::Routes()
{
  static const std::vector<operator_route> kRoutes{
    { http::verb::get, "/health", &operator_service::Health },
    { http::verb::get, "/metrics", &operator_service::Metrics },
    { http::verb::get, "/status", &operator_service::Status },
    { http::verb::get, "/groups", &operator_service::Groups },
    { http::verb::get, "/explain", &operator_service::Explain },
    { http::verb::post, "/manifest", &operator_service::SubmitManifest },
    { http::verb::post, "/drain", &operator_service::Drain },
  };
  return kRoutes;
}

http_response
operator_service::Handle(http_request& aRequest)
{
  const std::string_view target(aRequest.target().data(),
                                aRequest.target().size());
  const std::string_view path = target.substr(0, target.find('?'));
  for (const operator_route& route : Routes()) {
    if (route.mPath == path && route.mVerb == aRequest.method()) {
      return (this->*route.mHandler)(aRequest);
    }
  }
  http_response response = EncodeRefusal(
    { error_kind::BadRequest, "Unknown path or method on the operator port." });
  response.result(http::status::not_found);
  return response;
}

http_response
operator_service::Health(http_request&)
{
  if (mState.mDraining) {
    return MakeResponse(503, R"({"health":"draining"})");
  }
  if (mState.mManifestVersion == 0) {
    return MakeResponse(503, R"({"health":"no manifest"})");
  }
  return MakeResponse(200, R"({"health":"ok"})");
}

http_response
operator_service::Metrics(http_request&)
{
  http_response response = MakeResponse(200, mState.mMetrics.Text());
  response.set(http::field::content_type, "text/plain; version=0.0.4");
  return response;
}

http_response
operator_service::Status(http_request&)
{
  json::array peers;
  const time_point now = mState.Now();
  for (const peer_row& row : mPeers.Peers().Rows()) {
    peers.push_back({ { "name", row.mDeclared.mName },
                      { "zone", row.mDeclared.mZone },
                      { "live", mPeers.Peers().IsLive(row, now) },
                      { "draining", row.mDraining },
                      { "manifest_version", row.mManifestVersion } });
  }
  return JsonResponse(
    json::object{ { "name", mState.mSettings.mName },
                  { "zone", mState.mSettings.mZone },
                  { "identity", mState.mIdentity },
                  { "draining", mState.mDraining },
                  { "manifest_version", mState.mManifestVersion },
                  { "groups", mState.mManifest.mGroups.size() },
                  { "peers", peers } });
}

http_response
operator_service::Groups(http_request&)
{
  json::array groups;
  for (group_row_number number = 0; number < mState.mGroups.Size(); ++number) {
    const group_row& group = mState.mGroups.Group(number);
    if (group.mRetired) {
      continue;
    }
    json::array instances;
    for (instance_number i = 0; i < group.mInstances.size(); ++i) {
      instances.push_back(
        InstanceToJson(group.mInstances[i], mDirectory.Find(number, i).get()));
    }
    const auto primary = PrimaryOf(group);
    groups.push_back(
      { { "name", group.mName },
        { "acknowledge", PolicyName(group.mAcknowledge) },
        { "term", HighestTerm(group) },
        { "primary",
          primary ? group.mInstances[*primary].mDeclared.mName : "" },
        { "promoting", mState.mPromotion.IsPromoting(number) },
        { "instances", instances } });
  }
  return JsonResponse(groups);
}

http_response
operator_service::Explain(http_request& aRequest)
{
  const std::string_view target(aRequest.target().data(),
                                aRequest.target().size());
  http_request httpRequest =
    MakeRequest(http::verb::post,
                fmt::format("/v1/{}/{}",
                            QueryParameter(target, "group"),
                            QueryParameter(target, "request")));
  // Requests that are not repeatable are valid only with a key. The key is not
  // used, as the request is only routed and not sent.
  SetHeader(httpRequest, header::kIdempotencyKey, "explain");
  const std::string_view session = QueryParameter(target, "session");
  if (!session.empty()) {
    SetHeader(httpRequest, header::kSession, session);
  }
  const auto request = ParseCallerRequest(mState, httpRequest);
  if (!request) {
    return EncodeRefusal(request.error());
  }
  const group_row& group = mState.mGroups.Group(request.value().mGroup);
  const bool isRead = request.value().mDeclared.mKind == request_kind::Read;
  const read_requirements requirements =
    read_service::RequirementsOf(request.value());
  const route_decision decision =
    isRead ? mState.mRouter.DecideRead(group, requirements, mState.Now())
           : mState.mRouter.DecideWrite(group, mState.Now());
  const bool hasInstance = decision.mAction != route_action::Wait;
  return JsonResponse(json::object{
    { "group", group.mName },
    { "request", request.value().mDeclared.mName },
    { "kind", KindName(request.value().mDeclared.mKind) },
    { "action", ActionName(decision.mAction) },
    { "reason", ReasonName(decision.mReason) },
    { "instance",
      hasInstance ? group.mInstances[decision.mInstance].mDeclared.mName : "" },
    { "term", decision.mTerm },
    { "must_confirm", decision.mMustConfirm } });
}

http_response
operator_service::SubmitManifest(http_request& aRequest)
{
  const auto declared = ReadManifest("manifest", aRequest.body());
  if (!declared) {
    return EncodeRefusal(declared.error());
  }
  std::optional<std::uint64_t> expected;
  const std::string_view text = QueryParameter(
    { aRequest.target().data(), aRequest.target().size() }, "expect");
  if (!text.empty()) {
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    expected = number;
  }
  const auto version = mManifest.Submit(declared.value(), expected);
  if (!version) {
    Log(log_level::Warning,
        "manifest",
        "Manifest not accepted; the submitter receives the error. cause={}",
        version.error().mDetail);
    return EncodeRefusal(version.error());
  }
  return JsonResponse(json::object{ { "version", version.value() } });
}

http_response
operator_service::Drain(http_request&)
{
  mDrain();
  return MakeResponse(200, R"({"draining":true})");
}

} // namespace catkinloom
