#include "clFakeUpstream.h"

#include "clFakeJson.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace catkinloom {

namespace {

/// How long a stalled connection gets no response; longer than every client's
/// own time-out.
constexpr milliseconds kStallDuration{ 60000 };
constexpr milliseconds kStallPollInterval{ 20 };

/// How long the leader holds a replication request while it has no new entry.
constexpr milliseconds kReplicationWait{ 50 };
constexpr milliseconds kReplicationTimeout{ 200 };
constexpr milliseconds kReplicationRetryDelay{ 10 };

/// Maximum number of entries in a replication response.
constexpr std::size_t kMaxReplicationBatch = 512;

/// Clients whose name has this prefix are instances of the group; they do not
/// count as proxy connections.
constexpr std::string_view kReplicationClientPrefix = "replication";

bool
IsProxy(const std::string& aClient)
{
  return !aClient.empty() && !aClient.starts_with(kReplicationClientPrefix);
}

/// Name of the proxy in a client name of the form PROXY#NUMBER.
std::string_view
ProxyOf(std::string_view aClient)
{
  return aClient.substr(0, aClient.find('#'));
}

} // namespace

class fake_upstream::slot_guard
{
public:
  explicit slot_guard(fake_upstream& aOwner)
    : mOwner(aOwner)
  {
    if (mOwner.mBusySlots >= mOwner.mSettings.mSlots) {
      auto wait = std::make_shared<fiber_wait>();
      mOwner.mSlotQueue.push_back(wait);
      wait->Wait();
      return;
    }
    ++mOwner.mBusySlots;
  }

  slot_guard(const slot_guard&) = delete;
  slot_guard& operator=(const slot_guard&) = delete;

  ~slot_guard()
  {
    if (mOwner.mSlotQueue.empty()) {
      --mOwner.mBusySlots;
      return;
    }
    // Passes the slot directly to the request that has waited longest, so that
    // a newer one can't overtake it.
    const auto next = mOwner.mSlotQueue.front();
    mOwner.mSlotQueue.pop_front();
    next->Notify();
  }

private:
  fake_upstream& mOwner;
};

fake_upstream::fake_upstream(event_loop& aLoop,
                             fake_upstream_settings aSettings)
  : mLoop(aLoop)
  , mSettings(std::move(aSettings))
  , mServer(aLoop, { 8192, 4194304, milliseconds(5000), milliseconds(5000) })
  , mLastContactAt(aLoop.Clock().Now())
{
}

result<void>
fake_upstream::Listen(const std::string& aAddress)
{
  mJournal.Open(mSettings.mJournal, mLog, mTerm, mOwner);
  mLoop.Spawn([this] { RunReplication(); });
  return mServer.Listen(
    aAddress,
    [this](http_request& aRequest, const http_peer& aPeer) {
      return Respond(aRequest, aPeer);
    },
    [this](const http_peer& aPeer) { OnClosed(aPeer); });
}

void
fake_upstream::OnClosed(const http_peer& aPeer)
{
  const auto found = mConnections.find(aPeer.mConnectionId);
  if (found == mConnections.end()) {
    return;
  }
  mConnections.erase(found);
}

std::uint32_t
fake_upstream::CountConnections(const std::string& aClient) const
{
  std::uint32_t count = 0;
  for (const auto& [number, state] : mConnections) {
    const bool isCounted = aClient.empty()
                             ? IsProxy(state.mClient)
                             : ProxyOf(state.mClient) == ProxyOf(aClient);
    count += isCounted ? 1 : 0;
  }
  return count;
}

bool
fake_upstream::Admit(connection_state& aConnection, const std::string& aClient)
{
  if (!aConnection.mClient.empty() || aClient.empty()) {
    return true;
  }
  aConnection.mClient = aClient;
  const std::uint32_t connectionCount = CountConnections({});
  mPeakConnections = std::max(mPeakConnections, connectionCount);
  if (IsProxy(aClient) && connectionCount > mSettings.mConnections) {
    ++mRefusedConnections;
    aConnection.mClient.clear();
    return false;
  }
  if (IsProxy(aClient)) {
    mLoop.Sleep(mSettings.mConnectionCost);
  }
  return true;
}

http_response
fake_upstream::Respond(http_request& aRequest, const http_peer& aPeer)
{
  const std::string id(GetHeader(aRequest, header::kRequestId));
  const fake_target target =
    ParseTarget({ aRequest.target().data(), aRequest.target().size() });
  http_response response = Handle(aRequest, aPeer);
  if (!id.empty()) {
    SetHeader(response, header::kRequestId, id);
  }
  const auto connection = mConnections.find(aPeer.mConnectionId);
  if (connection == mConnections.end() ||
      !IsProxy(connection->second.mClient)) {
    return response;
  }
  std::deque<http_response>& delayed = connection->second.mDelayed;
  const auto repeat = mResponsesToRepeat.find(target.mPath);
  if (repeat != mResponsesToRepeat.end() && repeat->second > 0 &&
      delayed.empty()) {
    --repeat->second;
    ++mRepeatedResponses;
    delayed.push_back(response);
    return response;
  }
  if (!delayed.empty()) {
    delayed.push_back(std::move(response));
    response = std::move(delayed.front());
    delayed.pop_front();
  }
  return response;
}

http_response
fake_upstream::Handle(http_request& aRequest, const http_peer& aPeer)
{
  const fake_target target =
    ParseTarget({ aRequest.target().data(), aRequest.target().size() });
  if (target.mPath == "/admin") {
    return Admin(ParseObject(aRequest.body()));
  }
  if (target.mPath == "/admin/log") {
    return AdminLog();
  }
  connection_state& connection = mConnections[aPeer.mConnectionId];
  if (!Admit(connection, std::string(GetHeader(aRequest, header::kClient)))) {
    http_response refusal = MakeResponse(503, R"({"error":"connections"})");
    refusal.keep_alive(false);
    return refusal;
  }
  if (connection.mStalled) {
    Stall(connection);
    return MakeResponse(503, "{}");
  }
  return Dispatch(aRequest, target, connection);
}

void
fake_upstream::Stall(const connection_state& aConnection)
{
  const time_point end = mLoop.Clock().Now() + kStallDuration;
  while (!aConnection.mKilled && mLoop.Clock().Now() < end) {
    mLoop.Sleep(kStallPollInterval);
  }
}

http_response
fake_upstream::Dispatch(const http_request& aRequest,
                        const fake_target& aTarget,
                        connection_state& aConnection)
{
  if (aTarget.mPath == "/execute") {
    return Execute(aRequest, aConnection);
  }
  if (aTarget.mPath == "/status") {
    return Status(aTarget, aConnection);
  }
  if (aTarget.mPath.starts_with("/control/")) {
    return Control(aTarget.mPath, ParseObject(aRequest.body()), aConnection);
  }
  if (aTarget.mPath == "/outcome") {
    return Outcome(aTarget.Text("key"));
  }
  if (aTarget.mPath == "/kill") {
    return Kill(aTarget.Text("connection"));
  }
  if (aTarget.mPath == "/replicate") {
    return Replicate(ParseObject(aRequest.body()));
  }
  if (aTarget.mPath == "/reset") {
    if (mResetsToFail > 0) {
      --mResetsToFail;
      return MakeResponse(500, "{}");
    }
    aConnection.mDirty = false;
    return MakeResponse(200, "{}");
  }
  return MakeResponse(404, "{}");
}

http_response
fake_upstream::Kill(const std::string& aName)
{
  bool ended = true;
  for (auto& [number, state] : mConnections) {
    if (state.mClient == aName) {
      state.mKilled = true;
      ended = false;
    }
  }
  return JsonResponse(200, { { "ended", ended } });
}

boost::json::object
fake_upstream::StatusObject(const connection_state& aConnection) const
{
  const auto timeSinceContact = std::chrono::duration_cast<milliseconds>(
    mLoop.Clock().Now() - mLastContactAt);
  const log_position end = mLog.End();
  return {
    { "term", mTerm },
    { "log_term", end.mTerm },
    { "log_index", end.mIndex },
    { "leads", mIsLeader },
    { "silence_ms", mIsLeader ? 0 : timeSinceContact.count() },
    { "follows", mFollowedLeader },
    { "connections", CountConnections({}) },
    { "own_connections",
      aConnection.mClient.empty() ? 0 : CountConnections(aConnection.mClient) }
  };
}

void
fake_upstream::WaitForChange(time_point aEnd)
{
  auto wait = std::make_shared<fiber_wait>();
  mChangeWaiters.push_back(wait);
  boost::asio::steady_timer timer(mLoop.Context(), aEnd - mLoop.Clock().Now());
  timer.async_wait(
    [wait](const boost::system::error_code&) { wait->Notify(); });
  wait->Wait();
}

void
fake_upstream::NotifyChange()
{
  for (const auto& waiter : mChangeWaiters) {
    waiter->Notify();
  }
  mChangeWaiters.clear();
}

http_response
fake_upstream::Status(const fake_target& aTarget,
                      const connection_state& aConnection)
{
  const log_position requested{ aTarget.Number("log_term"),
                                aTarget.Number("log_index") };
  const term_number term = aTarget.Number("term");
  const time_point end =
    mLoop.Clock().Now() + milliseconds(aTarget.Number("wait_ms"));
  while (mTerm <= term && mLog.End() < requested && mLoop.Clock().Now() < end) {
    WaitForChange(end);
  }
  return JsonResponse(200, StatusObject(aConnection));
}

void
fake_upstream::Append(fake_log_entry aEntry)
{
  mJournal.WriteEntry(aEntry);
  mLog.Append(std::move(aEntry));
}

void
fake_upstream::AdoptTerm(term_number aTerm, const std::string& aOwner)
{
  mTerm = aTerm;
  mOwner = aOwner;
  mJournal.WriteTerm(aTerm, aOwner);
}

bool
fake_upstream::Fence(const boost::json::object& aBody)
{
  const term_number term = GetNumberField(aBody, "term");
  const std::string owner = GetStringField(aBody, "owner");
  if (term == mTerm && owner == mOwner) {
    return !mIsLeader;
  }
  if (term <= mTerm) {
    return false;
  }
  AdoptTerm(term, owner);
  mIsLeader = false;
  mFollowedLeader.clear();
  mFetched.clear();
  return true;
}

bool
fake_upstream::Promote(const boost::json::object& aBody)
{
  if (GetNumberField(aBody, "term") != mTerm ||
      GetStringField(aBody, "owner") != mOwner) {
    return false;
  }
  if (!mIsLeader) {
    mIsLeader = true;
    mFollowedLeader.clear();
    Append({ mTerm, {}, {}, {} });
  }
  return true;
}

bool
fake_upstream::Follow(const boost::json::object& aBody)
{
  const term_number term = GetNumberField(aBody, "term");
  if (term < mTerm || (term == mTerm && mIsLeader)) {
    return false;
  }
  if (term > mTerm) {
    AdoptTerm(term, {});
  }
  mIsLeader = false;
  mFetched.clear();
  mFollowedLeader = GetStringField(aBody, "leader");
  mLastContactAt = mLoop.Clock().Now();
  return true;
}

http_response
fake_upstream::Control(const std::string& aPath,
                       const boost::json::object& aBody,
                       const connection_state& aConnection)
{
  bool granted = false;
  if (aPath == "/control/fence") {
    granted = Fence(aBody);
  } else if (aPath == "/control/promote") {
    granted = Promote(aBody);
  } else if (aPath == "/control/follow") {
    granted = Follow(aBody);
  }
  NotifyChange();
  boost::json::object answer = StatusObject(aConnection);
  answer["granted"] = granted;
  return JsonResponse(200, answer);
}

void
fake_upstream::SetPositionHeaders(http_response& aResponse) const
{
  const log_position end = mLog.End();
  SetHeader(aResponse, header::kTerm, std::to_string(mTerm));
  SetHeader(aResponse, header::kLogTerm, std::to_string(end.mTerm));
  SetHeader(aResponse, header::kLogIndex, std::to_string(end.mIndex));
}

http_response
fake_upstream::Execute(const http_request& aRequest,
                       connection_state& aConnection)
{
  mDirtyUses += aConnection.mDirty ? 1 : 0;
  const slot_guard slot(*this);
  if (mSettings.mServiceTime.count() > 0) {
    mLoop.Sleep(mSettings.mServiceTime);
  }
  http_response response = RunStatements(aRequest, aConnection);
  SetPositionHeaders(response);
  SetHeader(
    response, header::kConnectionState, aConnection.mDirty ? "dirty" : "clean");
  if (mResponsesToDrop > 0) {
    --mResponsesToDrop;
    Stall(aConnection);
  }
  return response;
}

http_response
fake_upstream::RunStatements(const http_request& aRequest,
                             connection_state& aConnection)
{
  const boost::json::object body = ParseObject(aRequest.body());
  const auto* statements = body.if_contains("statements");
  if (statements == nullptr || !statements->is_array()) {
    return MakeResponse(400, R"({"error":"statements must be a list"})");
  }
  const std::string key(GetHeader(aRequest, header::kIdempotencyKey));
  if (const auto index = mLog.FindIdempotencyKey(key); index && mIsLeader) {
    return MakeResponse(200, mLog.Entries()[*index - 1].mAnswer);
  }
  fake_log_entry entry{ mTerm, {}, key, {} };
  boost::json::array results;
  for (const auto& item : statements->get_array()) {
    if (!item.is_object()) {
      return MakeResponse(400,
                          R"({"error":"each statement must be an object"})");
    }
    const boost::json::object& statement = item.get_object();
    const std::string verb = GetStringField(statement, "op");
    if (verb == "put") {
      entry.mPuts.emplace_back(GetStringField(statement, "key"),
                               GetStringField(statement, "value"));
      results.emplace_back("ok");
    } else if (verb == "get") {
      const auto value = mLog.Value(GetStringField(statement, "key"));
      results.push_back(value ? boost::json::value(*value)
                              : boost::json::value(nullptr));
    } else if (verb == "list") {
      results.emplace_back(mLog.List(GetStringField(statement, "prefix")));
    } else if (verb == "set") {
      aConnection.mDirty = true;
      results.emplace_back("ok");
    } else {
      return MakeResponse(400, R"({"error":"unknown op"})");
    }
  }
  const std::string answer =
    boost::json::serialize(boost::json::object{ { "results", results } });
  if (!entry.mPuts.empty()) {
    if (!mIsLeader) {
      return MakeResponse(421, R"({"error":"not the primary"})");
    }
    ++mExecutions;
    entry.mAnswer = answer;
    Append(std::move(entry));
    NotifyChange();
  }
  return MakeResponse(200, answer);
}

http_response
fake_upstream::Outcome(const std::string& aKey) const
{
  const auto index = mLog.FindIdempotencyKey(aKey);
  http_response response = MakeResponse(
    index ? 200 : 404, index ? mLog.Entries()[*index - 1].mAnswer : "{}");
  SetHeader(response, header::kTerm, std::to_string(mTerm));
  const std::uint64_t entryIndex = index.value_or(mLog.End().mIndex);
  SetHeader(
    response, header::kLogTerm, std::to_string(mLog.TermAt(entryIndex)));
  SetHeader(response, header::kLogIndex, std::to_string(entryIndex));
  return response;
}

http_response
fake_upstream::Replicate(const boost::json::object& aBody)
{
  const std::uint64_t after = GetNumberField(aBody, "after");
  const time_point end = mLoop.Clock().Now() + kReplicationWait;
  while (mIsLeader && !mIsolated && mLog.End().mIndex <= after &&
         mLoop.Clock().Now() < end) {
    WaitForChange(end);
  }
  if (mIsolated) {
    mLoop.Sleep(kStallDuration);
  }
  if (!mIsLeader || GetNumberField(aBody, "term") != mTerm) {
    return JsonResponse(409, {});
  }
  const bool conflict =
    after > mLog.End().mIndex ||
    mLog.TermAt(after) != GetNumberField(aBody, "after_term");
  boost::json::array entries;
  for (std::size_t i = after; !conflict && i < mLog.Entries().size() &&
                              entries.size() < kMaxReplicationBatch;
       ++i) {
    entries.push_back(EntryToJson(mLog.Entries()[i]));
  }
  return JsonResponse(
    200,
    { { "term", mTerm }, { "conflict", conflict }, { "entries", entries } });
}

void
fake_upstream::RunReplication()
{
  http_client_connection connection(mLoop);
  while (true) {
    if (!mIsLeader && !mFollowedLeader.empty() && !mIsolated) {
      FetchFromLeader(connection);
    } else {
      connection.Close();
      mLoop.Sleep(kReplicationRetryDelay);
    }
  }
}

void
fake_upstream::FetchFromLeader(http_client_connection& aConnection)
{
  const std::string leader = mFollowedLeader;
  const term_number term = mTerm;
  if (!aConnection.IsOpen() &&
      !aConnection.Connect(mSettings.mPeers[leader], kReplicationTimeout)) {
    mLoop.Sleep(kReplicationRetryDelay);
    return;
  }
  const log_position end = FetchedEnd();
  http_request request = MakeRequest(
    http::verb::post,
    "/replicate",
    boost::json::serialize(boost::json::object{ { "term", term },
                                                { "after", end.mIndex },
                                                { "after_term", end.mTerm } }));
  SetHeader(request, header::kClient, kReplicationClientPrefix);
  const exchange_result outcome =
    aConnection.Exchange(request, kReplicationTimeout);
  if (!outcome.IsOk() || outcome.mResponse.result_int() != 200) {
    aConnection.Close();
    mLoop.Sleep(kReplicationRetryDelay);
    return;
  }
  mLastContactAt = mLoop.Clock().Now();
  const boost::json::object answer = ParseObject(outcome.mResponse.body());
  // Discards the response if the instance was fenced, isolated or given
  // another leader while the request was in flight.
  if (mTerm != term || mFollowedLeader != leader || mIsolated) {
    aConnection.Close();
    return;
  }
  if (GetBoolField(answer, "conflict")) {
    mFetched.clear();
    mLog.Truncate(end.mIndex - 1);
    mJournal.WriteTruncate(end.mIndex - 1);
    return;
  }
  for (const auto& entry : answer.at("entries").as_array()) {
    mFetched.push_back({ EntryFromJson(entry.as_object()),
                         mLoop.Clock().Now() + mSettings.mReplicationLag });
  }
  if (mSettings.mReplicationLag.count() > 0 && !mFetched.empty()) {
    mLoop.Spawn([this, lag = mSettings.mReplicationLag] {
      mLoop.Sleep(lag);
      ApplyFetched();
    });
  }
  ApplyFetched();
}

log_position
fake_upstream::FetchedEnd() const
{
  if (mFetched.empty()) {
    return mLog.End();
  }
  return { mFetched.back().mEntry.mTerm, mLog.End().mIndex + mFetched.size() };
}

void
fake_upstream::ApplyFetched()
{
  const time_point now = mLoop.Clock().Now();
  while (!mFetched.empty() && mFetched.front().mVisibleAt <= now) {
    Append(std::move(mFetched.front().mEntry));
    mFetched.pop_front();
  }
  NotifyChange();
}

http_response
fake_upstream::Admin(const boost::json::object& aBody)
{
  if (aBody.contains("isolate")) {
    mIsolated = GetBoolField(aBody, "isolate");
  }
  mSettings.mReplicationLag = milliseconds(GetNumberField(
    aBody,
    "lag_ms",
    static_cast<std::uint64_t>(mSettings.mReplicationLag.count())));
  mSettings.mServiceTime = std::chrono::microseconds(
    GetNumberField(aBody,
                   "service_us",
                   static_cast<std::uint64_t>(mSettings.mServiceTime.count())));
  mResponsesToDrop = GetNumberField(aBody, "lose_answers", mResponsesToDrop);
  mResetsToFail = GetNumberField(aBody, "fail_resets", mResetsToFail);
  if (const auto* repeats = aBody.if_contains("repeat_answers");
      repeats != nullptr && repeats->is_object()) {
    for (const auto& [path, count] : repeats->get_object()) {
      mResponsesToRepeat[path] = count.to_number<std::uint64_t>();
    }
  }
  if (GetBoolField(aBody, "silence")) {
    for (auto& [number, state] : mConnections) {
      state.mStalled = IsProxy(state.mClient);
    }
  }
  return JsonResponse(200,
                      { { "refused_connections", mRefusedConnections },
                        { "peak_connections", mPeakConnections },
                        { "connections", CountConnections({}) },
                        { "dirty_uses", mDirtyUses },
                        { "executions", mExecutions },
                        { "repeated_answers", mRepeatedResponses },
                        { "term", mTerm },
                        { "leads", mIsLeader },
                        { "busy_slots", mBusySlots },
                        { "log_index", mLog.End().mIndex } });
}

http_response
fake_upstream::AdminLog() const
{
  boost::json::array entries;
  for (const fake_log_entry& entry : mLog.Entries()) {
    entries.emplace_back(EntryToJson(entry));
  }
  return JsonResponse(200, { { "entries", entries } });
}

} // namespace catkinloom
