#pragma once

#include "clCallerSession.h"
#include "clClusterStateMonitor.h"
#include "clFailoverRunner.h"
#include "clHttpServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <unordered_set>

namespace catkinloom {

/// Where a session proxy listens, each as IP:port.
struct session_listen_settings
{
  std::string mCallers;
  /// Answers the balancer's question whether this proxy takes callers.
  std::string mReady;
  std::string mMetrics;
};

/// One proxy that serves sessions: wires callers, upstreams, the store and
/// promotions, and runs them until it has drained.
class session_daemon
{
public:
  session_daemon(event_loop& aLoop,
                 session_ports aPorts,
                 session_settings aSettings,
                 session_listen_settings aListen,
                 std::string aName,
                 std::string aZone);

  /// Listens and starts every fiber.  Errors: BadSettings.
  result<void> Start();

  /// Tells the balancer, lets what runs end, and then stops the event loop.
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
  bool mLoggedReady = false;
};

} // namespace catkinloom
