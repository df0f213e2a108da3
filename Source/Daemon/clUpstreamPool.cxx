#include "clUpstreamPool.h"

#include "clInstanceExchange.h"
#include "clLog.h"

#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

namespace catkinloom {

namespace {

/// Connections of the share that are reserved for the control connection. The
/// slot counter does not count them.
constexpr std::uint32_t kControlSlots = 1;

/// Time-out of a reset, which also verifies that an idle connection still
/// works.
constexpr milliseconds kResetTimeout{ 100 };

} // namespace

upstream_pool::upstream_pool(proxy_state& aState, manifest_instance aInstance)
  : mState(aState)
  , mInstance(std::move(aInstance))
  , mQueue(aState.mCallers)
{
}

void
upstream_pool::SetShare(std::uint32_t aShare)
{
  mSlots.SetShare(aShare > kControlSlots ? aShare - kControlSlots : 0);
  while (mSlots.Open() + mSlots.PendingRelease() > mSlots.Share() &&
         !mIdle.empty()) {
    mIdle.pop_back();
    mSlots.Release();
  }
  GrantQueuedRequests();
}

void
upstream_pool::Stop()
{
  mStopped = true;
  for (std::size_t i = 0; i < mIdle.size(); ++i) {
    mSlots.Release();
  }
  mIdle.clear();
}

void
upstream_pool::GrantQueuedRequests()
{
  while (mQueue.Size() > 0 && !mStopped) {
    const bool hasIdle = !mIdle.empty();
    if (!hasIdle && !mSlots.TryAcquire()) {
      return;
    }
    const auto ticket = mQueue.Pop(mState.Now(), mExpectedResponseTime);
    NotifyDropped();
    if (!ticket) {
      if (!hasIdle) {
        mSlots.Release();
      }
      return;
    }
    queued_request& queued = *mQueuedRequests.at(*ticket);
    mQueuedRequests.erase(*ticket);
    queued.mGranted = true;
    if (hasIdle) {
      queued.mIdle = std::move(mIdle.back());
      mIdle.pop_back();
    }
    queued.mWait->Notify();
  }
}

void
upstream_pool::NotifyDropped()
{
  for (const ticket_number ticket : mQueue.DrainDropped()) {
    mState.mMetrics.mQueueDropped.Increment();
    mQueuedRequests.at(ticket)->mWait->Notify();
  }
}

result<void>
upstream_pool::WaitInQueue(ticket_number aTicket,
                           queued_request& aRequest,
                           time_point aDeadline)
{
  boost::asio::steady_timer timer(mState.mLoop.Context(),
                                  aDeadline - mState.Now());
  timer.async_wait([wait = aRequest.mWait](const boost::system::error_code&) {
    wait->Notify();
  });
  aRequest.mWait->Wait();
  if (aRequest.mGranted) {
    return boost::outcome_v2::success();
  }
  mQueuedRequests.erase(aTicket);
  mQueue.Remove(aTicket);
  return error{
    error_kind::DeadlineExceeded,
    "No connection to " + mInstance.mName +
      " became available in time. The request was not sent; it can be retried."
  };
}

result<std::unique_ptr<upstream_connection>>
upstream_pool::Acquire(caller_class_number aCallerClass, time_point aDeadline)
{
  const auto ticket = mQueue.Push(aCallerClass, mState.Now(), aDeadline);
  if (!ticket) {
    return error{ error_kind::Overloaded,
                  "The queue of this caller class is full (max_queue). The "
                  "request was not sent; retry later." };
  }
  queued_request queued;
  queued.mWait = std::make_shared<fiber_wait>();
  mQueuedRequests.emplace(*ticket, &queued);
  GrantQueuedRequests();
  if (!queued.mGranted) {
    BOOST_OUTCOME_TRY(WaitInQueue(*ticket, queued, aDeadline));
  }
  if (queued.mIdle) {
    if (IsRecentlyVerified(*queued.mIdle) || Reset(*queued.mIdle)) {
      mState.mMetrics.mConnectionsReused.Increment();
      return std::move(queued.mIdle);
    }
    // The instance may still hold the connection, so its slot is not free until
    // the instance confirms the end.
    mSlots.MarkPendingRelease(mState.Now());
    mKillHandler(queued.mIdle->mName);
    if (!mSlots.TryAcquire()) {
      mQueue.Finish(aCallerClass);
      return error{ error_kind::UpstreamUnreachable,
                    "An idle connection failed its reset and no other is free. "
                    "The request was not sent; it can be retried." };
    }
  }
  auto opened = Open(aDeadline);
  if (!opened) {
    mSlots.Release();
    mQueue.Finish(aCallerClass);
    GrantQueuedRequests();
  }
  return opened;
}

result<std::unique_ptr<upstream_connection>>
upstream_pool::Open(time_point aDeadline)
{
  auto connection = std::make_unique<upstream_connection>(
    mState.mLoop,
    fmt::format("{}#{}", mState.mSettings.mName, mNextConnectionNumber++));
  const milliseconds remaining =
    std::chrono::duration_cast<milliseconds>(aDeadline - mState.Now());
  const milliseconds timeout =
    std::min(remaining, mState.mSettings.mTiming.mConnectTimeout);
  BOOST_OUTCOME_TRY(connection->mHttp.Connect(
    mInstance.mAddress, std::max(timeout, milliseconds(1))));
  connection->mVerifiedAt = mState.Now();
  mState.mMetrics.mConnectionsOpened.Increment();
  return connection;
}

bool
upstream_pool::IsRecentlyVerified(upstream_connection& aConnection) const
{
  const bool isRecent = mState.Now() - aConnection.mVerifiedAt <
                        mState.mSettings.mTiming.mIdleCheckInterval;
  return isRecent && aConnection.mVerifiedAt > mLastNoResponseAt &&
         aConnection.mHttp.IsReusable();
}

bool
upstream_pool::Reset(upstream_connection& aConnection)
{
  if (!aConnection.mHttp.IsReusable()) {
    aConnection.mHttp.Close();
    return false;
  }
  http_request request = MakeRequest(http::verb::post, "/reset");
  SetHeader(request, header::kClient, aConnection.mName);
  mState.mMetrics.mConnectionResets.Increment();
  const exchange_result outcome = ExchangeWithInstance(
    aConnection.mHttp, request, mState.NextRequestId(), kResetTimeout);
  if (!outcome.IsOk() || outcome.mResponse.result_int() != 200) {
    aConnection.mHttp.Close();
    return false;
  }
  aConnection.mVerifiedAt = mState.Now();
  return true;
}

void
upstream_pool::ResetAndKeepIdle(
  std::unique_ptr<upstream_connection> aConnection)
{
  mState.mLoop.Spawn(
    [self = shared_from_this(),
     connection = std::make_shared<std::unique_ptr<upstream_connection>>(
       std::move(aConnection))] {
      if (self->Reset(**connection) && !self->mStopped) {
        self->mIdle.push_back(std::move(*connection));
      } else {
        Log(log_level::Info,
            "pool",
            "Reset failed or pool stopped; connection closed, slot held until "
            "the instance confirms its end. instance={} connection={}",
            self->mInstance.mName,
            (*connection)->mName);
        self->mSlots.MarkPendingRelease(self->mState.Now());
        self->mKillHandler((*connection)->mName);
      }
      self->GrantQueuedRequests();
    });
}

void
upstream_pool::Release(std::unique_ptr<upstream_connection> aConnection,
                       caller_class_number aCallerClass,
                       connection_state aState)
{
  mQueue.Finish(aCallerClass);
  if (aState == connection_state::Uncertain) {
    mState.mMetrics.mConnectionsBroken.Increment();
    mSlots.MarkPendingRelease(mState.Now());
    mLastNoResponseAt = mState.Now();
    mKillHandler(aConnection->mName);
  } else if (aState == connection_state::Unused ||
             !aConnection->mHttp.IsOpen() || mStopped ||
             mSlots.Open() + mSlots.PendingRelease() > mSlots.Share()) {
    mSlots.Release();
  } else if (aState == connection_state::Dirty) {
    ResetAndKeepIdle(std::move(aConnection));
  } else {
    aConnection->mVerifiedAt = mState.Now();
    mIdle.push_back(std::move(aConnection));
  }
  GrantQueuedRequests();
}

void
upstream_pool::OnReport(const instance_report& aReport, time_point aSentAt)
{
  const std::uint32_t counted = aReport.mOwnConnections > kControlSlots
                                  ? aReport.mOwnConnections - kControlSlots
                                  : 0;
  mSlots.OnReport(counted, aSentAt);
  GrantQueuedRequests();
}

} // namespace catkinloom
