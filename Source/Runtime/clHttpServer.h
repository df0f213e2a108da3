#pragma once

#include "clClock.h"
#include "clError.h"
#include "clHttpMessage.h"

#include <functional>
#include <memory>
#include <string>

namespace catkinloom {

class event_loop;

/// What one connection of an HTTP server may cost.
struct http_server_limits
{
  std::size_t mHeaderBytes = 8192;
  std::size_t mBodyBytes = 65536;
  /// Time from a request's first byte to its last.
  milliseconds mReadTimeout{ 5000 };
  milliseconds mWriteTimeout{ 5000 };
};

/// One connection, as a handler sees it.
struct http_peer
{
  /// Differs for every connection of the server.
  std::uint64_t mConnectionId = 0;
};

/// Answers one request; runs in a fiber of its own.
using http_handler =
  std::function<http_response(http_request& aRequest, const http_peer& aPeer)>;

/// Called when a connection has ended.
using http_closed_handler = std::function<void(const http_peer& aPeer)>;

/// HTTP/1.1 server.  A connection that waits for its next request holds
/// neither a fiber nor a buffer.
class http_server
{
public:
  http_server(event_loop& aLoop, http_server_limits aLimits);
  ~http_server();

  /// Listens on `address:port`.  Errors: BadSettings.
  result<void> Listen(const std::string& aAddress,
                      http_handler aHandler,
                      http_closed_handler aClosedHandler = {});

  /// Stops accepting, and closes each connection after its request in flight.
  void Drain();

  std::size_t ConnectionCount() const;
  /// Requests that are being read, handled or answered.
  std::size_t ActiveRequests() const;

  class shared_state;

private:
  std::shared_ptr<shared_state> mState;
};

} // namespace catkinloom
