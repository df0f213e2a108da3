#pragma once

#include "clCallerSession.h"
#include "clClusterStateMonitor.h"
#include "clFailoverRunner.h"
#include "clHttpServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <unordered_set>

namespace catkinloom {

/// Listen addresses of a session proxy, each as IP:port.
struct session_listen_settings
{
  std::string mCallers;
  /// Readiness probe of the load balancer: 200 if the proxy accepts callers,
  /// else 503.
  std::string mReady;
  std::string mMetrics;
};

/// A session proxy: serves callers, watches the store and runs failovers until
/// it has drained.
class session_daemon
{
public:
  session_daemon(event_loop& aLoop,
                 session_ports aPorts,
                 session_settings aSettings,
                 session_listen_settings aListen,
                 std::string aName,
                 std::string aZone);

  /// Opens the listen sockets and starts all fibers.  Errors: BadSettings.  A
  /// metrics address that can't be opened is logged and is no error.
  result<void> Start();

  /// Reports the proxy as not ready, lets open sessions end within
  /// mDrainTimeout, and then stops the event loop.
  void Drain();

private:
  result<void> ListenForCallers();
  void ListenForMetrics();
  void Accept();
  void AddSession(boost::asio::ip::tcp::socket aSocket);
  void RunHousekeeping();
  void FinishDrain();
  bool IsReady() const;

  session_context mContext;
  session_listen_settings mListen;
  statement_service mStatements;
  cluster_state_monitor mStateMonitor;
  failover_runner mFailover;
  boost::asio::ip::tcp::acceptor mAcceptor;
  http_server mReadyServer;
  http_server mMetricsServer;
  std::unordered_set<std::shared_ptr<caller_session>> mSessions;
  /// Readiness as last logged.
  bool mLoggedReady = false;
};

} // namespace catkinloom
