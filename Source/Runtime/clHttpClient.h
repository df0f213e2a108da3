#pragma once

#include "clClock.h"
#include "clError.h"
#include "clHttpMessage.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstddef>
#include <functional>
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
  /// The exchange failed since the response's body exceeds the maximum size.
  bool mIsTooLarge = false;
  /// Bytes of the response that were received, also if the exchange failed.
  std::size_t mReceivedBytes = 0;
  http_response mResponse;

  bool IsOk() const { return mFailure.empty(); }
};

/// How a response of any size is received.
struct large_response_options
{
  /// Longest pause between two parts of the body.
  nanoseconds mMaxPause{};
  /// Maximum size of the body.
  std::size_t mMaxBytes = 0;
  /// Called when the header has arrived.
  std::function<void()> mOnHeader;
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
  /// request.  Nothing is sent on a connection that is not reusable.  On a
  /// connection that was used before, data after the response is a failure,
  /// since the response may then be a repeated one of an earlier request.
  exchange_result Exchange(const http_request& aRequest, nanoseconds aTimeout);

  /// The same for a response of any size: the timeout applies until its header
  /// has arrived.
  exchange_result ExchangeLarge(const http_request& aRequest,
                                nanoseconds aTimeout,
                                const large_response_options& aOptions);

  /// Makes Close, and the end of the process, reset the connection: what the
  /// network has not delivered by then is never delivered.
  void DiscardUnsentOnClose();

  /// False when the connection was closed or has unread data, which would be
  /// taken for the response to the next request.
  bool IsReusable();

  /// Closes the connection; an exchange under way fails.
  void Close();
  bool IsOpen() const { return mOpen; }

private:
  /// aLarge: null if aTimeout applies to the whole exchange.
  exchange_result ExchangeWithin(const http_request& aRequest,
                                 nanoseconds aTimeout,
                                 const large_response_options* aLarge);
  bool HasUnreadData();
  boost::beast::error_code WriteRequest(const http_request& aRequest,
                                        exchange_result& aOutcome);
  boost::beast::error_code ReadResponse(const large_response_options* aLarge,
                                        exchange_result& aOutcome);

  event_loop& mLoop;
  boost::beast::tcp_stream mStream;
  boost::beast::flat_buffer mBuffer;
  bool mOpen = false;
  /// A response was received on this connection.
  bool mHasExchanged = false;
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
