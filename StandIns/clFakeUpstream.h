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

/// What a stand-in instance is like.
struct fake_upstream_settings
{
  std::string mName;
  /// Name to address of every instance of the group.
  std::map<std::string, std::string> mPeers;
  std::uint32_t mSlots = 3;
  std::uint32_t mConnections = 20;
  milliseconds mConnectionCost{ 10 };
  std::chrono::microseconds mServiceTime{ 2000 };
  milliseconds mReplicationLag{ 0 };
  /// File that keeps log and term over a restart; empty for none.
  std::string mJournal;
};

/// Stand-in for one instance of a database group.
///
/// Calls: GET /status, POST /control/{fence,promote,follow}, POST /execute,
/// GET /outcome?key=K, POST /reset, POST /kill?connection=C, POST /replicate.
///   Faults and figures are
/// reached by POST /admin and GET /admin/log.
class fake_upstream
{
public:
  fake_upstream(event_loop& aLoop, fake_upstream_settings aSettings);

  result<void> Listen(const std::string& aAddress);

private:
  struct connection_state
  {
    std::string mClient;
    bool mStalled = false;
    bool mDirty = false;
    /// Another connection asked for its end.
    bool mKilled = false;
  };

  /// An entry that came from the primary and is not visible yet.
  struct fetched_entry
  {
    fake_log_entry mEntry;
    time_point mVisibleAt;
  };

  /// Gives its slot back when it goes out of scope.
  class slot_guard;

  http_response Handle(http_request& aRequest, const http_peer& aPeer);
  http_response Dispatch(const http_request& aRequest,
                         const fake_target& aTarget,
                         connection_state& aConnection);
  void Stall(const connection_state& aConnection);
  void OnClosed(const http_peer& aPeer);
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
  std::string mOwner;
  std::string mFollowedLeader;
  bool mIsLeader = false;
  time_point mLastContactAt;

  bool mIsolated = false;
  std::uint64_t mResponsesToDrop = 0;
  std::uint64_t mResetsToFail = 0;
  std::uint64_t mRefusedConnections = 0;
  std::uint64_t mDirtyUses = 0;
  std::uint64_t mExecutions = 0;
  std::uint32_t mPeakConnections = 0;
};

} // namespace catkinloom
