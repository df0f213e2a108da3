#include "clUpstreamPool.h"

#include "clLog.h"

#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

namespace catkinloom {

namespace {

/// Seat that the control connection takes.
constexpr std::uint32_t kControlSlots = 1;

/// Time for an idle connection to prove that it still carries answers.
constexpr milliseconds kProofTimeout{ 100 };

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
  Pump();
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
upstream_pool::Pump()
{
  while (mQueue.Size() > 0 && !mStopped) {
    const bool hasIdle = !mIdle.empty();
    if (!hasIdle && !mSlots.TryAcquire()) {
      return;
    }
    const auto ticket = mQueue.Pop(mState.Now(), mExpected);
    WakeDropped();
    if (!ticket) {
      if (!hasIdle) {
        mSlots.Release();
      }
      return;
    }
    waiting_caller& waiting = *mWaiting.at(*ticket);
    mWaiting.erase(*ticket);
    waiting.mGranted = true;
    if (hasIdle) {
      waiting.mIdle = std::move(mIdle.back());
      mIdle.pop_back();
    }
    waiting.mWait->Notify();
  }
}

void
upstream_pool::WakeDropped()
{
  for (const ticket_number ticket : mQueue.DrainDropped()) {
    mState.mMetrics.mQueueDropped.Increment();
    mWaiting.at(ticket)->mWait->Notify();
  }
}

result<void>
upstream_pool::WaitForTurn(ticket_number aTicket,
                           waiting_caller& aWaiting,
                           time_point aDeadline)
{
  boost::asio::steady_timer timer(mState.mLoop.Context(),
                                  aDeadline - mState.Now());
  timer.async_wait([wait = aWaiting.mWait](const boost::system::error_code&) {
    wait->Notify();
  });
  aWaiting.mWait->Wait();
  if (aWaiting.mGranted) {
    return boost::outcome_v2::success();
  }
  mWaiting.erase(aTicket);
  mQueue.Remove(aTicket);
  return error{ error_kind::DeadlineExceeded,
                "No connection to " + mInstance.mName +
                  " came free in time. The request was not sent." };
}

result<std::unique_ptr<upstream_connection>>
upstream_pool::Acquire(caller_number aCaller, time_point aDeadline)
{
  const auto ticket = mQueue.Push(aCaller, mState.Now(), aDeadline);
  if (!ticket) {
    return error{ error_kind::Overloaded,
                  "Too many requests of this caller class wait already." };
  }
  waiting_caller waiting;
  waiting.mWait = std::make_shared<fiber_wait>();
  mWaiting.emplace(*ticket, &waiting);
  Pump();
  if (!waiting.mGranted) {
    BOOST_OUTCOME_TRY(WaitForTurn(*ticket, waiting, aDeadline));
  }
  if (waiting.mIdle) {
    if (IsTrusted(*waiting.mIdle) || Reset(*waiting.mIdle)) {
      mState.mMetrics.mConnectionsReused.Increment();
      return std::move(waiting.mIdle);
    }
    mSlots.MarkPendingRelease(mState.Now());
    mKill(waiting.mIdle->mName);
    if (!mSlots.TryAcquire()) {
      mQueue.Finish(aCaller);
      return error{ error_kind::UpstreamUnreachable,
                    "A kept connection went silent. Nothing was sent." };
    }
  }
  auto opened = Open(aDeadline);
  if (!opened) {
    mSlots.Release();
    mQueue.Finish(aCaller);
    Pump();
  }
  return opened;
}

result<std::unique_ptr<upstream_connection>>
upstream_pool::Open(time_point aDeadline)
{
  auto connection = std::make_unique<upstream_connection>(
    mState.mLoop, fmt::format("{}#{}", mState.mSettings.mName, mNextName++));
  const milliseconds left =
    std::chrono::duration_cast<milliseconds>(aDeadline - mState.Now());
  const milliseconds timeout =
    std::min(left, mState.mSettings.mTiming.mConnectTimeout);
  BOOST_OUTCOME_TRY(connection->mHttp.Connect(
    mInstance.mAddress, std::max(timeout, milliseconds(1))));
  connection->mProvenAt = mState.Now();
  mState.mMetrics.mConnectionsOpened.Increment();
  return connection;
}

bool
upstream_pool::IsTrusted(upstream_connection& aConnection) const
{
  const bool isRecent =
    mState.Now() - aConnection.mProvenAt < mState.mSettings.mTiming.mIdleCheck;
  return isRecent && aConnection.mProvenAt > mSilenceSeenAt &&
         aConnection.mHttp.IsQuiet();
}

bool
upstream_pool::Reset(upstream_connection& aConnection)
{
  if (!aConnection.mHttp.IsOpen() || !aConnection.mHttp.IsQuiet()) {
    return false;
  }
  http_request request = MakeRequest(http::verb::post, "/reset");
  SetHeader(request, header::kClient, aConnection.mName);
  mState.mMetrics.mConnectionResets.Increment();
  const exchange_result outcome =
    aConnection.mHttp.Exchange(request, kProofTimeout);
  if (!outcome.IsOk() || outcome.mResponse.result_int() != 200) {
    aConnection.mHttp.Close();
    return false;
  }
  aConnection.mProvenAt = mState.Now();
  return true;
}

void
upstream_pool::ResetThenPark(std::unique_ptr<upstream_connection> aConnection)
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
            "Reset failed, connection closed. instance={} connection={}",
            self->mInstance.mName,
            (*connection)->mName);
        self->mSlots.MarkPendingRelease(self->mState.Now());
        self->mKill((*connection)->mName);
      }
      self->Pump();
    });
}

void
upstream_pool::Release(std::unique_ptr<upstream_connection> aConnection,
                       caller_number aCaller,
                       connection_state aState)
{
  mQueue.Finish(aCaller);
  if (aState == connection_state::Uncertain) {
    mState.mMetrics.mConnectionsBroken.Increment();
    mSlots.MarkPendingRelease(mState.Now());
    mSilenceSeenAt = mState.Now();
    mKill(aConnection->mName);
  } else if (aState == connection_state::Unused ||
             !aConnection->mHttp.IsOpen() || mStopped ||
             mSlots.Open() + mSlots.PendingRelease() > mSlots.Share()) {
    mSlots.Release();
  } else if (aState == connection_state::Dirty) {
    ResetThenPark(std::move(aConnection));
  } else {
    aConnection->mProvenAt = mState.Now();
    mIdle.push_back(std::move(aConnection));
  }
  Pump();
}

void
upstream_pool::OnReport(const instance_report& aReport, time_point aSentAt)
{
  const std::uint32_t counted = aReport.mOwnConnections > kControlSlots
                                  ? aReport.mOwnConnections - kControlSlots
                                  : 0;
  mSlots.OnReport(counted, aSentAt);
  Pump();
}

} // namespace catkinloom
