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

/// State of a connection after a request.
enum class connection_state
{
  /// The request left no state on it.
  Clean,
  /// It must be reset before another request may use it.
  Dirty,
  /// It was closed before the request was sent, so nothing runs on it.
  Unused,
  /// It was closed after the request may have been sent; the instance may
  /// still execute the request.
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

  /// Name that identifies the connection to the instance.
  std::string mName;
  http_client_connection mHttp;
  /// When the connection was opened or last carried a response.
  time_point mVerifiedAt;
};

/// Pool of this proxy's data connections to one instance. A connection serves
/// one request at a time.
class upstream_pool : public std::enable_shared_from_this<upstream_pool>
{
public:
  /// Requests that the instance end the named connection.
  using kill_handler = std::function<void(const std::string&)>;

  upstream_pool(proxy_state& aState, manifest_instance aInstance);

  void SetKillHandler(kill_handler aHandler)
  {
    mKillHandler = std::move(aHandler);
  }

  /// Sets the maximum number of connections of this proxy to the instance,
  /// including the control connection.
  void SetShare(std::uint32_t aShare);

  /// Waits for a connection without state of an earlier request. The caller
  /// gives it back with Release. Errors, none of which sends the request:
  /// Overloaded, DeadlineExceeded, UpstreamUnreachable.
  result<std::unique_ptr<upstream_connection>> Acquire(
    caller_class_number aCallerClass,
    time_point aDeadline);

  /// Takes a connection back in the given state. An Uncertain one keeps its
  /// slot until the instance confirms that it has ended.
  void Release(std::unique_ptr<upstream_connection> aConnection,
               caller_class_number aCallerClass,
               connection_state aState);

  /// Applies the instance's own count of this proxy's connections.
  void OnReport(const instance_report& aReport, time_point aSentAt);

  /// Closes the idle connections and grants no more to queued requests.
  void Stop();

  /// Sets the estimated response time, which decides whether a queued request
  /// can still meet its deadline.
  void SetExpectedResponseTime(nanoseconds aResponseTime)
  {
    mExpectedResponseTime = aResponseTime;
  }

  std::uint32_t Open() const { return mSlots.Open(); }
  std::uint32_t PendingRelease() const { return mSlots.PendingRelease(); }
  std::uint32_t Share() const { return mSlots.Share(); }
  std::size_t QueueLength() const { return mQueue.Size(); }

private:
  /// A request that waits for a connection.
  struct queued_request
  {
    std::shared_ptr<fiber_wait> mWait;
    /// Granted idle connection; null if a new one is to be opened.
    std::unique_ptr<upstream_connection> mIdle;
    bool mGranted = false;
  };

  /// Grants idle connections and free slots to queued requests.
  void GrantQueuedRequests();
  /// Resumes the fibers of requests that the queue dropped because their
  /// deadline cannot be met.
  void NotifyDropped();
  result<void> WaitInQueue(ticket_number aTicket,
                           queued_request& aRequest,
                           time_point aDeadline);
  result<std::unique_ptr<upstream_connection>> Open(time_point aDeadline);
  bool IsRecentlyVerified(upstream_connection& aConnection) const;
  /// Removes the state of earlier requests from a connection. Returns false if
  /// the instance does not confirm that; the connection is unusable then.
  bool Reset(upstream_connection& aConnection);
  /// Resets a connection in a new fiber. It becomes idle on success and is
  /// closed otherwise.
  void ResetAndKeepIdle(std::unique_ptr<upstream_connection> aConnection);

  proxy_state& mState;
  manifest_instance mInstance;
  kill_handler mKillHandler;
  connection_slot_counter mSlots;
  admission_queue mQueue;
  std::map<ticket_number, queued_request*> mQueuedRequests;
  std::vector<std::unique_ptr<upstream_connection>> mIdle;
  nanoseconds mExpectedResponseTime{ 0 };
  /// Last time that a request got no response. A connection that has not been
  /// verified since then is reset before it is used, as it may be dead too.
  time_point mLastNoResponseAt;
  std::uint64_t mNextConnectionNumber = 1;
  bool mStopped = false;
};

} // namespace catkinloom
