#pragma once

#include "clHttpClient.h"
#include "clProxyState.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace catkinloom {

/// Maintains the control connection to one instance: polls its state, waits for
/// log positions by long polling, and sends commands. Runs in its own fiber.
class upstream_control : public std::enable_shared_from_this<upstream_control>
{
public:
  /// Called after each valid response to a status request.
  using report_handler =
    std::function<void(const instance_report&, time_point aSentAt)>;
  /// Called after each valid response to a command.
  using command_handler =
    std::function<void(const promotion_command&, const promotion_answer&)>;
  /// Called when the instance stops responding, once until it responds again.
  using failure_handler = std::function<void()>;

  upstream_control(proxy_state& aState,
                   group_row_number aGroup,
                   manifest_instance aInstance);

  void Start(report_handler aOnReport,
             command_handler aOnCommandAnswer,
             failure_handler aOnFailure);
  void Stop();

  /// Requests a report as soon as the instance's log reaches aPosition. The
  /// request expires at aExpiresAt.
  void RequestReportAtPosition(term_number aTerm,
                               log_position aPosition,
                               time_point aExpiresAt);

  /// Requests a report whose status request is sent at aSince or later.
  void RequestFreshReport(time_point aSince);

  /// Queues a command, which is sent before the next status request. aLeader
  /// is the name of the instance to replicate from; only Follow uses it.
  void SendCommand(promotion_command aCommand, std::string aLeader);

  /// Requests that the instance end a connection whose outcome is uncertain.
  /// Repeated until the instance confirms that nothing runs on it any more.
  void Kill(const std::string& aConnection);

  /// Returns whether the instance has confirmed that the connection has ended.
  /// Only the most recent confirmations are kept.
  bool HasEnded(const std::string& aConnection) const;

private:
  struct pending_command
  {
    promotion_command mCommand;
    std::string mLeader;
  };

  void Run();
  /// Replaces a connection that cannot be used again.  Errors:
  /// UpstreamUnreachable, BadSettings.
  result<void> EnsureConnected();
  /// Returns false if the connection failed.
  bool SendPendingCommands();
  void SendPendingKills();
  void QueryStatus();
  void WaitForNextProbe();
  /// Returns whether the next status request is due at once: a command is
  /// pending, a fresh report is requested, or the instance's log has not
  /// reached the requested position.
  bool IsReportRequested() const;
  /// Number of the instance in its group; empty if a manifest removed it.
  std::optional<instance_number> FindInstanceNumber() const;
  void OnFailure(const std::string& aCause);
  exchange_result Exchange(http_request& aRequest, milliseconds aTimeout);

  proxy_state& mState;
  group_row_number mGroup;
  manifest_instance mInstance;
  http_client_connection mConnection;
  fiber_signal mWorkSignal;
  report_handler mOnReport;
  command_handler mOnCommandAnswer;
  failure_handler mOnFailure;
  std::deque<pending_command> mPendingCommands;
  std::deque<std::string> mPendingKills;
  /// Most recent connections that the instance confirmed to have ended.
  std::deque<std::string> mEndedConnections;
  /// Arguments of RequestReportAtPosition, combined over all calls.
  term_number mRequestedTerm = 0;
  log_position mRequestedPosition;
  time_point mRequestExpiresAt;
  time_point mFreshReportSince;
  time_point mLastQuerySentAt;
  milliseconds mBackOff{ 0 };
  bool mFailing = false;
  bool mStopped = false;
};

} // namespace catkinloom
