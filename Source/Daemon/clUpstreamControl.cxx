#include "clUpstreamControl.h"

#include "clInstanceExchange.h"
#include "clLog.h"
#include "clProbeSchedule.h"
#include "clUpstreamMessages.h"

#include <algorithm>

namespace catkinloom {

namespace {

/// Maximum time that an instance may delay a report in a long poll.
constexpr milliseconds kMaxReportWait{ 20 };

constexpr milliseconds kInitialBackOff{ 20 };

/// Delay before a request to end a connection is repeated.
constexpr milliseconds kKillRetryDelay{ 20 };

/// Number of ended connections that are kept for HasEnded.
constexpr std::size_t kMaxEndedConnections = 256;

/// Estimated size of the start lines and headers of a request and its response;
/// added to the bodies in the count of control traffic.
constexpr std::size_t kMessageOverheadBytes = 160;

/// Percent-encodes the '#' in a connection name for use in a request target.
std::string
EscapeConnectionName(std::string aName)
{
  const std::size_t position = aName.find('#');
  return position == std::string::npos ? aName
                                       : aName.replace(position, 1, "%23");
}

} // namespace

upstream_control::upstream_control(proxy_state& aState,
                                   group_row_number aGroup,
                                   manifest_instance aInstance)
  : mState(aState)
  , mGroup(aGroup)
  , mInstance(std::move(aInstance))
  , mConnection(aState.mLoop)
  , mWorkSignal(aState.mLoop)
{
}

void
upstream_control::Start(report_handler aOnReport,
                        command_handler aOnCommandAnswer,
                        failure_handler aOnFailure)
{
  mOnReport = std::move(aOnReport);
  mOnCommandAnswer = std::move(aOnCommandAnswer);
  mOnFailure = std::move(aOnFailure);
  mState.mLoop.Spawn([self = shared_from_this()] { self->Run(); });
}

void
upstream_control::Stop()
{
  mStopped = true;
  mWorkSignal.Notify();
}

void
upstream_control::RequestReportAtPosition(term_number aTerm,
                                          log_position aPosition,
                                          time_point aExpiresAt)
{
  if (mState.Now() >= mRequestExpiresAt) {
    mRequestedPosition = {};
  }
  mRequestedTerm = std::max(mRequestedTerm, aTerm);
  mRequestedPosition = std::max(mRequestedPosition, aPosition);
  mRequestExpiresAt = std::max(mRequestExpiresAt, aExpiresAt);
  mWorkSignal.Notify();
}

void
upstream_control::RequestFreshReport(time_point aSince)
{
  mFreshReportSince = std::max(mFreshReportSince, aSince);
  mWorkSignal.Notify();
}

void
upstream_control::SendCommand(promotion_command aCommand, std::string aLeader)
{
  mPendingCommands.push_back({ std::move(aCommand), std::move(aLeader) });
  mWorkSignal.Notify();
}

void
upstream_control::Kill(const std::string& aConnection)
{
  mPendingKills.push_back(aConnection);
  mWorkSignal.Notify();
}

std::optional<instance_number>
upstream_control::FindInstanceNumber() const
{
  return FindInstance(mState.mGroups.Group(mGroup), mInstance.mName);
}

void
upstream_control::Run()
{
  while (!mStopped) {
    if (const auto connected = EnsureConnected(); !connected) {
      OnFailure(connected.error().mDetail);
      // Commands to an unreachable instance are discarded; the sender repeats
      // them while they still apply.
      mPendingCommands.clear();
      WaitForNextProbe();
      continue;
    }
    if (!SendPendingCommands()) {
      continue;
    }
    SendPendingKills();
    if (mConnection.IsOpen()) {
      QueryStatus();
    }
    if (!IsReportRequested() || mFailing) {
      WaitForNextProbe();
    }
  }
  mConnection.Close();
}

result<void>
upstream_control::EnsureConnected()
{
  if (mConnection.IsReusable()) {
    return boost::outcome_v2::success();
  }
  mConnection.Close();
  return mConnection.Connect(mInstance.mAddress,
                             mState.mSettings.mTiming.mConnectTimeout);
}

exchange_result
upstream_control::Exchange(http_request& aRequest, milliseconds aTimeout)
{
  exchange_result outcome;
  if (const auto connected = EnsureConnected(); !connected) {
    outcome.mFailure = connected.error().mDetail;
    return outcome;
  }
  SetHeader(aRequest, header::kClient, mState.mSettings.mName + "#control");
  outcome = ExchangeWithInstance(
    mConnection, aRequest, mState.NextRequestId(), aTimeout);
  mState.mMetrics.mControlBytes.Increment(static_cast<double>(
    aRequest.body().size() + outcome.mResponse.body().size() +
    kMessageOverheadBytes));
  return outcome;
}

bool
upstream_control::SendPendingCommands()
{
  while (!mPendingCommands.empty()) {
    const pending_command pending = std::move(mPendingCommands.front());
    mPendingCommands.pop_front();
    http_request request = EncodeCommand(pending.mCommand, pending.mLeader);
    const time_point sentAt = mState.Now();
    const exchange_result outcome =
      Exchange(request, mState.mSettings.mTiming.mProbeTimeout);
    if (!outcome.IsOk()) {
      OnFailure(outcome.mFailure);
      return false;
    }
    const auto report = DecodeReport(outcome.mResponse);
    if (!report || mStopped) {
      continue;
    }
    promotion_answer answer{ DecodeGranted(outcome.mResponse),
                             report.value(),
                             sentAt };
    mOnCommandAnswer(pending.mCommand, answer);
  }
  return true;
}

void
upstream_control::SendPendingKills()
{
  std::deque<std::string> kills;
  kills.swap(mPendingKills);
  while (!kills.empty() && mConnection.IsOpen()) {
    const std::string name = std::move(kills.front());
    kills.pop_front();
    http_request request = MakeRequest(
      http::verb::post, "/kill?connection=" + EscapeConnectionName(name));
    const exchange_result outcome =
      Exchange(request, mState.mSettings.mTiming.mProbeTimeout);
    if (!outcome.IsOk() || !DecodeEnded(outcome.mResponse)) {
      mPendingKills.push_back(name);
      continue;
    }
    mEndedConnections.push_back(name);
    if (mEndedConnections.size() > kMaxEndedConnections) {
      mEndedConnections.pop_front();
    }
    mState.SignalOf(mGroup).Notify();
  }
  mPendingKills.insert(mPendingKills.end(), kills.begin(), kills.end());
}

bool
upstream_control::HasEnded(const std::string& aConnection) const
{
  return std::find(mEndedConnections.begin(),
                   mEndedConnections.end(),
                   aConnection) != mEndedConnections.end();
}

bool
upstream_control::IsReportRequested() const
{
  if (!mPendingCommands.empty() || mLastQuerySentAt < mFreshReportSince) {
    return true;
  }
  const auto number = FindInstanceNumber();
  if (!number || mState.Now() >= mRequestExpiresAt) {
    return false;
  }
  const auto& report = mState.mGroups.Group(mGroup).mInstances[*number].mReport;
  return report && report->mTerm <= mRequestedTerm &&
         report->mLog < mRequestedPosition;
}

void
upstream_control::QueryStatus()
{
  const bool isLongPoll =
    mLastQuerySentAt >= mFreshReportSince && IsReportRequested();
  const milliseconds maxWait = isLongPoll ? kMaxReportWait : milliseconds(0);
  http_request request =
    EncodeStatus(mRequestedTerm, mRequestedPosition, maxWait);
  mLastQuerySentAt = mState.Now();
  const time_point sentAt = mLastQuerySentAt;
  const exchange_result outcome =
    Exchange(request, mState.mSettings.mTiming.mProbeTimeout + maxWait);
  if (mStopped) {
    return;
  }
  if (!outcome.IsOk()) {
    OnFailure(outcome.mFailure);
    return;
  }
  const auto report = DecodeReport(outcome.mResponse);
  const auto number = FindInstanceNumber();
  if (!report || !number) {
    OnFailure("Status report is malformed");
    return;
  }
  if (mFailing) {
    Log(log_level::Info,
        "upstream",
        "Instance responds again; its state is current. instance={} term={} "
        "index={}",
        mInstance.mName,
        report.value().mTerm,
        report.value().mLog.mIndex);
  }
  mFailing = false;
  mBackOff = milliseconds(0);
  mState.mGroups.Record(mGroup, *number, report.value(), sentAt);
  mOnReport(report.value(), sentAt);
  mState.SignalOf(mGroup).Notify();
}

void
upstream_control::OnFailure(const std::string& aCause)
{
  mConnection.Close();
  const auto number = FindInstanceNumber();
  if (!number || mStopped) {
    return;
  }
  if (!mFailing) {
    Log(
      log_level::Warning,
      "upstream",
      "Instance does not answer; retrying after a delay. instance={} cause={}",
      mInstance.mName,
      aCause);
  }
  const bool isFirstFailure = !mFailing;
  mFailing = true;
  mBackOff = std::clamp(
    mBackOff * 2, kInitialBackOff, mState.mSettings.mTiming.mProbeInterval);
  mState.mGroups.RecordFailure(mGroup, *number, mState.Now());
  if (isFirstFailure) {
    mOnFailure();
  }
  mState.SignalOf(mGroup).Notify();
}

void
upstream_control::WaitForNextProbe()
{
  if (mStopped || !mPendingCommands.empty()) {
    return;
  }
  const auto number = FindInstanceNumber();
  nanoseconds delay = mBackOff;
  if (!mFailing && number) {
    delay = NextProbeDelay(mState.mGroups.Group(mGroup),
                           *number,
                           mState.mSettings.mTiming.mProbeInterval,
                           mState.Now());
  }
  if (!mPendingKills.empty()) {
    delay = std::min<nanoseconds>(delay, kKillRetryDelay);
  }
  mWorkSignal.WaitUntil(mState.Now() + delay);
}

} // namespace catkinloom
