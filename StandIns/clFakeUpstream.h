#pragma once

#include "clEventLoop.h"
#include "clFakeJournal.h"
#include "clFakeLog.h"
#include "clHttpClient.h"
#include "clHttpServer.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace catkinloom {

struct fake_target;

/// Configuration of a simulated instance.
struct fake_upstream_settings
{
  std::string mName;
  /// Name and address of every instance of the group, this one included.
  std::map<std::string, std::string> mPeers;
  /// Statements that run at the same time; others are queued.
  std::uint32_t mSlots = 3;
  /// Limit of proxy connections; further ones are refused.
  std::uint32_t mConnections = 20;
  /// Delay of the first request on a new proxy connection.
  milliseconds mConnectionCost{ 10 };
  /// Run time of a list of statements.
  std::chrono::microseconds mServiceTime{ 2000 };
  /// Delay until an entry that was received from the leader becomes visible.
  milliseconds mReplicationLag{ 0 };
  /// File that stores log and term across restarts; empty for none.
  std::string mJournal;
};

/// Simulates one instance of a database group.
///
/// Requests: GET /status, POST /control/{fence,promote,follow}, POST /execute,
/// GET /outcome?key=K, POST /reset, POST /kill?connection=C, POST /replicate.
/// A response repeats the request's header Upstream-Request-Id.
/// POST /admin sets the faults and returns the counters; GET /admin/log returns
/// the log.
class fake_upstream
{
public:
  fake_upstream(event_loop& aLoop, fake_upstream_settings aSettings);

  result<void> Listen(const std::string& aAddress);

private:
  struct connection_state
  {
    /// Client name of the first request that has one, such as PROXY#NUMBER.
    std::string mClient;
    /// Requests get no response; set by the fault `silence`.
    bool mStalled = false;
    /// A `set` statement changed the session's state since the last reset.
    bool mDirty = false;
    /// A request on another connection asked to end this one.
    bool mKilled = false;
    /// Responses that were not sent yet, since an earlier one was repeated in
    /// their place.
    std::deque<http_response> mDelayed;
  };

  /// An entry that was received from the leader and is not visible yet.
  struct fetched_entry
  {
    fake_log_entry mEntry;
    time_point mVisibleAt;
  };

  /// Holds a statement slot until it goes out of scope; waits for one if all
  /// are in use.
  class slot_guard;

  /// Handles a request, repeats its id in the response and applies the fault
  /// `repeat_answers`.
  http_response Respond(http_request& aRequest, const http_peer& aPeer);
  http_response Handle(http_request& aRequest, const http_peer& aPeer);
  http_response Dispatch(const http_request& aRequest,
                         const fake_target& aTarget,
                         connection_state& aConnection);
  /// Sends no response for kStallDuration, or until the connection is killed.
  void Stall(const connection_state& aConnection);
  void OnClosed(const http_peer& aPeer);
  /// Applies the connection limit and the connection cost to a new client;
  /// returns false if the connection is refused.
  bool Admit(connection_state& aConnection, const std::string& aClient);

  http_response Status(const fake_target& aTarget,
                       const connection_state& aConnection);
  http_response Control(const std::string& aPath,
                        const boost::json::object& aBody,
                        const connection_state& aConnection);
  bool Fence(const boost::json::object& aBody);
  bool Promote(const boost::json::object& aBody);
  bool Follow(const boost::json::object& aBody);
  http_response Execute(const http_request& aRequest,
                        connection_state& aConnection);
  http_response RunStatements(const http_request& aRequest,
                              connection_state& aConnection);
  http_response Outcome(const std::string& aKey) const;
  /// Ends the stalled requests of the connections with a client name; the
  /// response's `ended` is true when no such connection is left.
  http_response Kill(const std::string& aName);
  http_response Replicate(const boost::json::object& aBody);
  http_response Admin(const boost::json::object& aBody);
  http_response AdminLog() const;

  boost::json::object StatusObject(const connection_state& aConnection) const;
  void SetPositionHeaders(http_response& aResponse) const;
  void WaitForChange(time_point aEnd);
  void NotifyChange();
  void Append(fake_log_entry aEntry);
  void AdoptTerm(term_number aTerm, const std::string& aOwner);
  log_position FetchedEnd() const;
  void ApplyFetched();
  void RunReplication();
  void FetchFromLeader(http_client_connection& aConnection);
  /// Connections of one proxy; of all proxies if aClient is empty.
  std::uint32_t CountConnections(const std::string& aClient) const;

  event_loop& mLoop;
  fake_upstream_settings mSettings;
  http_server mServer;
  fake_log mLog;
  fake_journal mJournal;
  std::map<std::uint64_t, connection_state> mConnections;
  std::deque<std::shared_ptr<fiber_wait>> mSlotQueue;
  std::vector<std::shared_ptr<fiber_wait>> mChangeWaiters;
  std::deque<fetched_entry> mFetched;
  std::uint32_t mBusySlots = 0;

  term_number mTerm = 0;
  /// Promotion attempt that owns the term; empty if the term was adopted by
  /// following a leader.
  std::string mOwner;
  std::string mFollowedLeader;
  bool mIsLeader = false;
  time_point mLastContactAt;

  bool mIsolated = false;
  std::uint64_t mResponsesToDrop = 0;
  std::uint64_t mResetsToFail = 0;
  /// Number of responses, by path, that are sent again in place of the next
  /// response on their connection; all later ones on it are delayed by one.
  std::map<std::string, std::uint64_t, std::less<>> mResponsesToRepeat;
  std::uint64_t mRefusedConnections = 0;
  /// Executions on a connection that was not reset after a `set` statement.
  std::uint64_t mDirtyUses = 0;
  std::uint64_t mExecutions = 0;
  std::uint64_t mRepeatedResponses = 0;
  std::uint32_t mPeakConnections = 0;
};

} // namespace catkinloom
