#pragma once

#include "clAdmissionQueue.h"
#include "clConnectionSlotCounter.h"
#include "clHttpClient.h"
#include "clProxyState.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace catkinloom {

/// State in which a request leaves its connection.
enum class connection_state
{
  /// Nothing of the request is left on it.
  Clean,
  /// It must be reset before another request may use it.
  Dirty,
  /// It was closed before the request was sent.
  Unused,
  /// It was closed with the request on it; the instance may still run it.
  Uncertain,
};

/// One data connection to an instance.
struct upstream_connection
{
  upstream_connection(event_loop& aLoop, std::string aName)
    : mName(std::move(aName))
    , mHttp(aLoop)
  {
  }

  /// Name under which the instance knows it.
  std::string mName;
  http_client_connection mHttp;
  /// When an answer last came over it.
  time_point mVerifiedAt;
};

/// This proxy's connections to one instance, handed to one request at a time.
class upstream_pool : public std::enable_shared_from_this<upstream_pool>
{
public:
  /// Asks the instance to drop the named connection.
  using kill_handler = std::function<void(const std::string&)>;

  upstream_pool(proxy_state& aState, manifest_instance aInstance);

  void SetKillHandler(kill_handler aHandler)
  {
    mKillHandler = std::move(aHandler);
  }

  /// Connections that this proxy may hold, the control connection included.
  void SetShare(std::uint32_t aShare);

  /// Hands out a connection that carries nothing of an earlier request.
  /// Errors, all before anything was sent: Overloaded, DeadlineExceeded,
  /// UpstreamUnreachable.
  result<std::unique_ptr<upstream_connection>> Acquire(caller_number aCaller,
                                                       time_point aDeadline);

  void Release(std::unique_ptr<upstream_connection> aConnection,
               caller_number aCaller,
               connection_state aState);

  /// Takes the instance's own count of this proxy's connections.
  void OnReport(const instance_report& aReport, time_point aSentAt);

  /// Closes what is idle and refuses what comes.
  void Stop();

  /// Time that a request usually takes on the instance.
  void SetExpectedResponseTime(nanoseconds aResponseTime)
  {
    mExpectedResponseTime = aResponseTime;
  }

  std::uint32_t Open() const { return mSlots.Open(); }
  std::uint32_t PendingRelease() const { return mSlots.PendingRelease(); }
  std::uint32_t Share() const { return mSlots.Share(); }
  std::size_t QueueLength() const { return mQueue.Size(); }

private:
  /// A request that waits for its turn.
  struct queued_request
  {
    std::shared_ptr<fiber_wait> mWait;
    std::unique_ptr<upstream_connection> mIdle;
    bool mGranted = false;
  };

  void GrantQueuedRequests();
  /// Tells requests whose deadline cannot be met that they are not run.
  void NotifyDropped();
  result<void> WaitInQueue(ticket_number aTicket,
                           queued_request& aRequest,
                           time_point aDeadline);
  result<std::unique_ptr<upstream_connection>> Open(time_point aDeadline);
  bool IsRecentlyVerified(upstream_connection& aConnection) const;
  bool Reset(upstream_connection& aConnection);
  void ResetAndKeepIdle(std::unique_ptr<upstream_connection> aConnection);

  proxy_state& mState;
  manifest_instance mInstance;
  kill_handler mKillHandler;
  connection_slot_counter mSlots;
  admission_queue mQueue;
  std::map<ticket_number, queued_request*> mQueuedRequests;
  std::vector<std::unique_ptr<upstream_connection>> mIdle;
  nanoseconds mExpectedResponseTime{ 0 };
  /// Connections not proven since then may have gone silent.
  time_point mLastNoResponseAt;
  std::uint64_t mNextConnectionNumber = 1;
  bool mStopped = false;
};

} // namespace catkinloom
