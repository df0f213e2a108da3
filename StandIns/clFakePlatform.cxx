#include "clFakePlatform.h"

#include "clFakeJson.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/serialize.hpp>

namespace catkinloom {

namespace {

/// How long a request is held when its response is dropped or the service has
/// an outage; longer than every client's own time-out.
constexpr milliseconds kStallDuration{ 60000 };

bool
IsWrite(const std::string& aPath)
{
  return aPath == "/kv/cas" || aPath.starts_with("/lease");
}

} // namespace

fake_platform::fake_platform(event_loop& aLoop)
  : mLoop(aLoop)
  , mServer(aLoop, { 8192, 2097152, milliseconds(5000), milliseconds(5000) })
{
}

result<void>
fake_platform::Listen(const std::string& aAddress)
{
  return mServer.Listen(aAddress,
                        [this](http_request& aRequest, const http_peer&) {
                          return Handle(aRequest);
                        });
}

http_response
fake_platform::Handle(const http_request& aRequest)
{
  const fake_target target =
    ParseTarget({ aRequest.target().data(), aRequest.target().size() });
  const boost::json::object body = ParseObject(aRequest.body());
  if (target.mPath == "/admin") {
    return Admin(body);
  }
  (IsWrite(target.mPath) ? mWrites : mReads) += 1;
  if (mOutage) {
    mLoop.Sleep(kStallDuration);
    return MakeResponse(503, "{}");
  }
  if (mSendsMalformed) {
    return MakeResponse(200, "\x01\x02 not json {{{");
  }
  if (mResponseDelay.count() > 0) {
    mLoop.Sleep(mResponseDelay);
  }
  RemoveExpiredLeases();
  if (target.mPath == "/kv") {
    return Get(target.Text("key"));
  }
  if (target.mPath == "/kv/cas") {
    http_response response = CompareAndSwap(body);
    if (mResponsesToDrop > 0) {
      --mResponsesToDrop;
      mLoop.Sleep(kStallDuration);
    }
    return response;
  }
  if (target.mPath == "/kv/watch") {
    return Watch(target.Text("prefix"),
                 target.Number("after"),
                 milliseconds(target.Number("wait_ms")));
  }
  if (target.mPath.starts_with("/lease")) {
    return Lease(target.mPath, body);
  }
  if (target.mPath == "/vms") {
    return ListVms();
  }
  return MakeResponse(404, "{}");
}

http_response
fake_platform::Get(const std::string& aKey)
{
  const auto found = mEntries.find(aKey);
  if (found == mEntries.end()) {
    return JsonResponse(404, { { "revision", 0 } });
  }
  return JsonResponse(200,
                      { { "value", found->second.mValue },
                        { "revision", found->second.mRevision } });
}

http_response
fake_platform::CompareAndSwap(const boost::json::object& aBody)
{
  const std::string key = GetStringField(aBody, "key");
  const auto found = mEntries.find(key);
  const std::uint64_t currentRevision =
    found == mEntries.end() ? 0 : found->second.mRevision;
  if (currentRevision != GetNumberField(aBody, "expected")) {
    return JsonResponse(409, { { "revision", currentRevision } });
  }
  mEntries[key] = { GetStringField(aBody, "value"),
                    ++mRevision,
                    GetNumberField(aBody, "lease") };
  for (const auto& watcher : mWatchers) {
    watcher->Notify();
  }
  mWatchers.clear();
  return JsonResponse(200, { { "revision", mRevision } });
}

boost::json::array
fake_platform::ChangesAfter(const std::string& aPrefix,
                            std::uint64_t aAfter) const
{
  boost::json::array changes;
  for (const auto& [key, entry] : mEntries) {
    if (key.starts_with(aPrefix) && entry.mRevision > aAfter) {
      changes.push_back({ { "key", key },
                          { "value", entry.mValue },
                          { "revision", entry.mRevision } });
    }
  }
  return changes;
}

http_response
fake_platform::Watch(const std::string& aPrefix,
                     std::uint64_t aAfter,
                     milliseconds aWait)
{
  const time_point end = mLoop.Clock().Now() + aWait;
  boost::json::array changes = ChangesAfter(aPrefix, aAfter);
  while (changes.empty() && mLoop.Clock().Now() < end) {
    auto wait = std::make_shared<fiber_wait>();
    mWatchers.push_back(wait);
    boost::asio::steady_timer timer(mLoop.Context(), end - mLoop.Clock().Now());
    timer.async_wait(
      [wait](const boost::system::error_code&) { wait->Notify(); });
    wait->Wait();
    changes = ChangesAfter(aPrefix, aAfter);
  }
  return JsonResponse(200, { { "changes", changes } });
}

http_response
fake_platform::Lease(const std::string& aPath, const boost::json::object& aBody)
{
  const time_point now = mLoop.Clock().Now();
  if (aPath == "/lease") {
    const milliseconds ttl(GetNumberField(aBody, "ttl_ms"));
    mLeases[mNextLease] = { ttl, now + ttl };
    return JsonResponse(200, { { "id", mNextLease++ } });
  }
  const auto found = mLeases.find(GetNumberField(aBody, "id"));
  if (found == mLeases.end()) {
    return JsonResponse(404, {});
  }
  found->second.second = now + found->second.first;
  return JsonResponse(200, { { "id", found->first } });
}

void
fake_platform::RemoveExpiredLeases()
{
  const time_point now = mLoop.Clock().Now();
  std::erase_if(
    mLeases, [now](const auto& aLease) { return aLease.second.second < now; });
  std::erase_if(mEntries, [this](const auto& aEntry) {
    const std::uint64_t lease = aEntry.second.mLease;
    return lease != 0 && !mLeases.contains(lease);
  });
}

http_response
fake_platform::ListVms()
{
  const time_point now = mLoop.Clock().Now();
  boost::json::array visible;
  for (const vm_state& state : mVmHistory) {
    if (state.mVisibleAt <= now) {
      visible = state.mVms;
    }
  }
  return JsonResponse(200, { { "vms", visible } });
}

http_response
fake_platform::Admin(const boost::json::object& aBody)
{
  if (aBody.contains("outage")) {
    mOutage = GetBoolField(aBody, "outage");
  }
  if (aBody.contains("garbage")) {
    mSendsMalformed = GetBoolField(aBody, "garbage");
  }
  mResponseDelay = milliseconds(GetNumberField(
    aBody, "slow_ms", static_cast<std::uint64_t>(mResponseDelay.count())));
  mVmListLag = milliseconds(GetNumberField(
    aBody, "vm_lag_ms", static_cast<std::uint64_t>(mVmListLag.count())));
  mResponsesToDrop = GetNumberField(aBody, "lose_answers", mResponsesToDrop);
  if (aBody.contains("vms") && aBody.at("vms").is_array()) {
    mVmHistory.push_back(
      { aBody.at("vms").get_array(), mLoop.Clock().Now() + mVmListLag });
  }
  return JsonResponse(
    200,
    { { "reads", mReads }, { "writes", mWrites }, { "revision", mRevision } });
}

} // namespace catkinloom
