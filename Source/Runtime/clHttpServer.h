#pragma once

#include "clClock.h"
#include "clError.h"
#include "clHttpMessage.h"

#include <functional>
#include <memory>
#include <string>

namespace catkinloom {

class event_loop;

/// Size and time limits for each connection of an HTTP server.
struct http_server_limits
{
  std::size_t mHeaderBytes = 8192;
  std::size_t mBodyBytes = 65536;
  /// Time limit for receiving a request, from its first byte to its last.
  milliseconds mReadTimeout{ 5000 };
  milliseconds mWriteTimeout{ 5000 };
};

/// Identifies the connection of a request to its handler.
struct http_peer
{
  /// Unique among all connections of the server.
  std::uint64_t mConnectionId = 0;
};

/// Handles one request; runs in a fiber.
using http_handler =
  std::function<http_response(http_request& aRequest, const http_peer& aPeer)>;

/// Called when a connection is destroyed.
using http_closed_handler = std::function<void(const http_peer& aPeer)>;

/// HTTP/1.1 server.  A connection that waits for its next request uses neither
/// a fiber nor a buffer.
class http_server
{
public:
  http_server(event_loop& aLoop, http_server_limits aLimits);
  ~http_server();

  /// Listens on `address:port`.  Errors: BadSettings.
  result<void> Listen(const std::string& aAddress,
                      http_handler aHandler,
                      http_closed_handler aClosedHandler = {});

  /// Stops accepting connections, closes idle ones, and closes the others after
  /// their current request.
  void Drain();

  std::size_t ConnectionCount() const;
  /// Number of requests being read, handled or responded to.
  std::size_t ActiveRequests() const;

  class shared_state;

private:
  std::shared_ptr<shared_state> mState;
};

} // namespace catkinloom
