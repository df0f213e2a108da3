#pragma once

#include "clClock.h"
#include "clError.h"
#include "clHttpMessage.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <optional>
#include <string>

namespace catkinloom {

class event_loop;

/// How far a failed exchange got.
enum class exchange_progress
{
  /// No byte of the request was sent.
  NotSent,
  /// The server may have received the request.
  MaybeSent,
};

/// Result of one exchange on a connection.
struct exchange_result
{
  /// Error message; empty when mResponse is complete.
  std::string mFailure;
  exchange_progress mProgress = exchange_progress::NotSent;
  /// Bytes of the response that were received, also if the exchange failed.
  std::size_t mReceivedBytes = 0;
  http_response mResponse;

  bool IsOk() const { return mFailure.empty(); }
};

/// HTTP/1.1 client connection, used by one fiber at a time.
class http_client_connection
{
public:
  explicit http_client_connection(event_loop& aLoop);

  /// Connects within the timeout.  Errors: UpstreamUnreachable, BadSettings.
  result<void> Connect(const std::string& aAddress, milliseconds aTimeout);

  /// Sends a request and reads the complete response.  A failure closes the
  /// connection, because a late response would be taken for that of the next
  /// request.
  exchange_result Exchange(const http_request& aRequest, nanoseconds aTimeout);

  /// The same for a response of any size: the timeout applies until its header
  /// has arrived, and its body may take as long as no two of its parts arrive
  /// more than aMaxPause apart.  Calls aOnHeader when the header has arrived.
  exchange_result ExchangeLarge(const http_request& aRequest,
                                nanoseconds aTimeout,
                                nanoseconds aMaxPause,
                                const std::function<void()>& aOnHeader);

  /// False when the server closed the connection or sent unsolicited data.
  bool IsReusable();

  /// Closes the connection; an exchange under way fails.
  void Close();
  bool IsOpen() const { return mOpen; }

private:
  /// How the body of a large response is read.
  struct large_response
  {
    nanoseconds mMaxPause;
    std::function<void()> mOnHeader;
  };

  /// aLarge: empty if aTimeout applies to the whole exchange.
  exchange_result ExchangeWithin(const http_request& aRequest,
                                 nanoseconds aTimeout,
                                 const std::optional<large_response>& aLarge);
  boost::beast::error_code WriteRequest(const http_request& aRequest,
                                        exchange_result& aOutcome);
  boost::beast::error_code ReadResponse(
    const std::optional<large_response>& aLarge,
    exchange_result& aOutcome);

  event_loop& mLoop;
  boost::beast::tcp_stream mStream;
  boost::beast::flat_buffer mBuffer;
  bool mOpen = false;
};

/// Opens a connection for a single exchange.  The timeout applies to connecting
/// and to the exchange separately.  Errors: UpstreamUnreachable or BadSettings
/// from connecting, PlatformUnavailable when the exchange fails.
result<http_response>
FetchOnce(event_loop& aLoop,
          const std::string& aAddress,
          const http_request& aRequest,
          milliseconds aTimeout);

} // namespace catkinloom
