#include "clSessionDaemon.h"

#include "clDecisionLog.h"
#include "clEndpoint.h"
#include "clLog.h"

#include <algorithm>
#include <vector>

namespace catkinloom {

using tcp = boost::asio::ip::tcp;

namespace {

/// Maximum number of caller connections waiting to be accepted.
constexpr int kBacklog = 1024;

/// Interval between checks for idle transactions, missing instances and
/// expired idle connections.
constexpr milliseconds kHousekeepingInterval{ 500 };

/// Interval between checks for open sessions while draining; also the delay
/// after a failed accept.
constexpr milliseconds kDrainPollInterval{ 50 };

http_server_limits
InternalServerLimits()
{
  http_server_limits limits;
  limits.mHeaderBytes = 4096;
  limits.mBodyBytes = 4096;
  return limits;
}

} // namespace

session_daemon::session_daemon(event_loop& aLoop,
                               session_ports aPorts,
                               session_settings aSettings,
                               session_listen_settings aListen,
                               std::string aName,
                               std::string aZone)
  : mContext(aLoop, aPorts, aSettings, std::move(aName), std::move(aZone))
  , mListen(std::move(aListen))
  , mStatements(mContext)
  , mStateMonitor(mContext)
  , mFailover(mContext)
  , mAcceptor(aLoop.Context())
  , mReadyServer(aLoop, InternalServerLimits())
  , mMetricsServer(aLoop, InternalServerLimits())
{
  mContext.mRefreshLeadership = [this] { mStateMonitor.RefreshLeadership(); };
}

result<void>
session_daemon::Start()
{
  BOOST_OUTCOME_TRY(mReadyServer.Listen(
    mListen.mReady, [this](http_request&, const http_peer&) {
      return MakeResponse(IsReady() ? 200 : 503, "{}");
    }));
  BOOST_OUTCOME_TRY(ListenForCallers());
  ListenForMetrics();
  mStateMonitor.Start();
  mContext.mLoop.Spawn([this] { mStateMonitor.RunRegistration(); });
  mContext.mLoop.Spawn([this] { mFailover.Run(); });
  mContext.mLoop.Spawn([this] { RunHousekeeping(); });
  Log(log_level::Info,
      "daemon",
      "Session proxy started; accepting callers. name={} zone={} "
      "callers={} ready={} metrics={}",
      mContext.Name(),
      mContext.mUpstreams.mZone,
      mListen.mCallers,
      mListen.mReady,
      mListen.mMetrics);
  log_writer::Instance().Flush();
  return boost::outcome_v2::success();
}

void
session_daemon::ListenForMetrics()
{
  const auto listening = mMetricsServer.Listen(
    mListen.mMetrics, [this](http_request&, const http_peer&) {
      return MakeResponse(200, mContext.mMetrics.Text());
    });
  if (!listening) {
    // A missing metrics address must not keep the proxy from serving callers.
    Log(log_level::Warning,
        "daemon",
        "Metrics address can't be opened; callers are served without "
        "metrics. address={} cause={}",
        mListen.mMetrics,
        listening.error().mDetail);
  }
}

result<void>
session_daemon::ListenForCallers()
{
  BOOST_OUTCOME_TRY(const tcp::endpoint endpoint,
                    ParseEndpoint(mListen.mCallers));
  boost::system::error_code code;
  mAcceptor.open(endpoint.protocol(), code);
  mAcceptor.set_option(tcp::acceptor::reuse_address(true), code);
  mAcceptor.bind(endpoint, code);
  if (!code) {
    mAcceptor.listen(kBacklog, code);
  }
  if (code) {
    return error{ error_kind::BadSettings,
                  mListen.mCallers +
                    ": caller address (listen.callers) can't be opened: " +
                    code.message() };
  }
  Accept();
  return boost::outcome_v2::success();
}

void
session_daemon::Accept()
{
  mAcceptor.async_accept(
    [this](const boost::system::error_code& aCode, tcp::socket aSocket) {
      if (aCode == boost::asio::error::operation_aborted) {
        return;
      }
      if (aCode) {
        Log(log_level::Warning,
            "caller",
            "Accepting a caller connection failed; retrying. cause={}",
            aCode.message());
        mContext.mLoop.Spawn([this] {
          mContext.mLoop.Sleep(kDrainPollInterval);
          Accept();
        });
        return;
      }
      AddSession(std::move(aSocket));
      Accept();
    });
}

void
session_daemon::AddSession(tcp::socket aSocket)
{
  auto stream = std::make_shared<line_stream>(
    mContext.mLoop, std::move(aSocket), mContext.mSettings.mMaxLineBytes);
  auto session = std::make_shared<caller_session>(
    mContext, mStatements, std::move(stream), [this](caller_session& aSession) {
      mSessions.erase(aSession.shared_from_this());
      mContext.mMetrics.mSessions.Set(static_cast<double>(mSessions.size()));
    });
  mSessions.insert(session);
  mContext.mMetrics.mSessions.Set(static_cast<double>(mSessions.size()));
  session->Start();
}

bool
session_daemon::IsReady() const
{
  return !mContext.mDraining && mStateMonitor.HasInitialState();
}

void
session_daemon::RunHousekeeping()
{
  while (true) {
    mContext.mLoop.Sleep(kHousekeepingInterval);
    const time_point now = mContext.Now();
    mStateMonitor.ExpireMissingEntries();
    mStateMonitor.UpdateMetrics();
    for (const auto& [service, group] : mContext.mGroups) {
      group->CloseExpiredIdle();
    }
    const std::vector<std::shared_ptr<caller_session>> sessions(
      mSessions.begin(), mSessions.end());
    for (const auto& session : sessions) {
      session->EndIdleTransaction(now);
    }
    const std::uint64_t suppressed =
      decision_log_limiter::Instance().TakeSuppressedCount();
    mContext.mMetrics.mLogLinesSuppressed.Increment(
      static_cast<double>(suppressed));
    if (IsReady() != mLoggedReady) {
      mLoggedReady = IsReady();
      Log(log_level::Info,
          "daemon",
          "Readiness changed; the load balancer sees it at its next probe. "
          "ready={}",
          mLoggedReady);
    }
  }
}

void
session_daemon::Drain()
{
  if (mContext.mDraining) {
    return;
  }
  const session_settings& settings = mContext.mSettings;
  const time_point now = mContext.Now();
  mContext.mDraining = true;
  mContext.mTransactionsEndAt = now + settings.mDrainTransactionTimeout;
  mContext.mUpstreams.mStatementsEndAt = now + settings.mDrainStatementTimeout;
  Log(log_level::Info,
      "daemon",
      "Drain started; open sessions get time to end. sessions={}",
      mSessions.size());
  mContext.mLoop.Spawn([this] { FinishDrain(); });
}

void
session_daemon::FinishDrain()
{
  const session_settings& settings = mContext.mSettings;
  const time_point start = mContext.Now();
  mContext.mLoop.Sleep(settings.mDrainNotice);
  while (mContext.Now() < start + settings.mDrainTimeout) {
    const std::vector<std::shared_ptr<caller_session>> sessions(
      mSessions.begin(), mSessions.end());
    const time_point now = mContext.Now();
    const bool cutTransactions = now >= *mContext.mTransactionsEndAt;
    if (now >= start + settings.mDrainAcceptTime) {
      boost::system::error_code ignored;
      mAcceptor.close(ignored);
    }
    if (now >= *mContext.mUpstreams.mStatementsEndAt) {
      // Statements that were sent before the drain have a later time-out.
      for (const auto& [service, group] : mContext.mGroups) {
        group->BreakOffExchanges();
      }
    }
    for (const auto& session : sessions) {
      const bool idleTransaction =
        session->IsInTransaction() && !session->IsProcessing();
      if (cutTransactions && idleTransaction) {
        session->Abort();
      } else {
        session->EndWhenIdle(mAcceptor.is_open() ? settings.mDrainIdleTime
                                                 : milliseconds(0));
      }
    }
    if (mSessions.empty() && !mAcceptor.is_open()) {
      break;
    }
    mContext.mLoop.Sleep(kDrainPollInterval);
  }
  boost::system::error_code ignored;
  mAcceptor.close(ignored);
  const auto statementsCut =
    std::count_if(mSessions.begin(), mSessions.end(), [](const auto& aSession) {
      return aSession->IsProcessing();
    });
  Log(log_level::Info,
      "daemon",
      "Drain finished; remaining sessions are cut. sessions_cut={} "
      "statements_cut={}",
      mSessions.size(),
      statementsCut);
  mStateMonitor.Deregister();
  for (const auto& [service, group] : mContext.mGroups) {
    group->CloseAllIdle();
  }
  mContext.mLoop.Stop();
}

} // namespace catkinloom
