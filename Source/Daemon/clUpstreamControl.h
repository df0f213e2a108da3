#pragma once

#include "clHttpClient.h"
#include "clProxyState.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace catkinloom {

/// Keeps one control connection to one instance: asks for its state, waits
/// there for log positions, and carries orders.  A fiber runs it.
class upstream_control : public std::enable_shared_from_this<upstream_control>
{
public:
  /// Called after each answer to a question about the instance's state.
  using report_handler =
    std::function<void(const instance_report&, time_point aSentAt)>;
  /// Called after each answer to an order.
  using command_handler =
    std::function<void(const promotion_command&, const promotion_answer&)>;

  /// Called when the instance begins not to answer.
  using failure_handler = std::function<void()>;

  upstream_control(proxy_state& aState,
                   group_row_number aGroup,
                   manifest_instance aInstance);

  void Start(report_handler aOnReport,
             command_handler aOnCommandAnswer,
             failure_handler aOnFailure);
  void Stop();

  /// Asks the instance to report as soon as its log reaches the position;
  /// the wish lapses at aExpiresAt.
  void RequestReportAtPosition(term_number aTerm,
                               log_position aPosition,
                               time_point aExpiresAt);

  /// Asks for a report to a question sent at aSince or later.
  void RequestFreshReport(time_point aSince);

  /// Sends an order before the next question.
  void SendCommand(promotion_command aCommand, std::string aLeader);

  /// Asks the instance to end a connection whose outcome is uncertain, again
  /// and again until it says that nothing runs on it any more.
  void Kill(const std::string& aConnection);

  /// The instance has confirmed that the connection has ended.
  bool HasEnded(const std::string& aConnection) const;

private:
  struct pending_command
  {
    promotion_command mCommand;
    std::string mLeader;
  };

  void Run();
  bool EnsureConnected();
  bool SendPendingCommands();
  void SendPendingKills();
  void QueryStatus();
  void WaitForNextProbe();
  bool IsReportRequested() const;
  std::optional<instance_number> FindNumber() const;
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
  /// Latest connections that the instance confirmed to have ended.
  std::deque<std::string> mEndedConnections;
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
