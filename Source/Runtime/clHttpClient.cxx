#include "clHttpClient.h"

#include "clEndpoint.h"
#include "clEventLoop.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>

namespace catkinloom {

namespace beast = boost::beast;
using tcp = boost::asio::ip::tcp;

namespace {

/// Idle time before the first TCP keep-alive probe, and the interval between
/// probes.  The kernel closes the connection after kMaxUnansweredKeepAlives
/// probes without a response, so an unresponsive peer is detected within three
/// seconds.
constexpr int kKeepAliveIntervalS = 1;
constexpr int kMaxUnansweredKeepAlives = 2;

void
SetKeepAlive(int aSocket)
{
  constexpr int kEnabled = 1;
  ::setsockopt(aSocket, SOL_SOCKET, SO_KEEPALIVE, &kEnabled, sizeof(kEnabled));
  ::setsockopt(aSocket,
               IPPROTO_TCP,
               TCP_KEEPIDLE,
               &kKeepAliveIntervalS,
               sizeof(kKeepAliveIntervalS));
  ::setsockopt(aSocket,
               IPPROTO_TCP,
               TCP_KEEPINTVL,
               &kKeepAliveIntervalS,
               sizeof(kKeepAliveIntervalS));
  ::setsockopt(aSocket,
               IPPROTO_TCP,
               TCP_KEEPCNT,
               &kMaxUnansweredKeepAlives,
               sizeof(kMaxUnansweredKeepAlives));
}

/// Whether another response to the same request follows (RFC 9110, 15.2).
bool
IsInterim(const http_response& aResponse)
{
  constexpr unsigned kSwitchingProtocols = 101;
  const unsigned status = aResponse.result_int();
  return status / 100 == 1 && status != kSwitchingProtocols;
}

enum class peek_result
{
  NoData,
  Data,
  /// The peer closed the connection, or it failed.
  Closed,
};

/// Checks for received data without reading it.
peek_result
Peek(tcp::socket& aSocket)
{
  char peekedByte = 0;
  const auto bytesRead =
    ::recv(aSocket.native_handle(), &peekedByte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (bytesRead > 0) {
    return peek_result::Data;
  }
  const bool isEmpty =
    bytesRead < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return isEmpty ? peek_result::NoData : peek_result::Closed;
}

} // namespace

http_client_connection::http_client_connection(event_loop& aLoop)
  : mLoop(aLoop)
  , mStream(aLoop.Context())
{
}

result<void>
http_client_connection::Connect(const std::string& aAddress,
                                milliseconds aTimeout)
{
  BOOST_OUTCOME_TRY(const tcp::endpoint endpoint, ParseEndpoint(aAddress));
  beast::error_code code;
  fiber_wait wait;
  mStream.expires_after(aTimeout);
  mStream.async_connect(endpoint, [&](const beast::error_code& aResult) {
    code = aResult;
    wait.Notify();
  });
  wait.Wait();
  if (code) {
    Close();
    return error{ error_kind::UpstreamUnreachable,
                  aAddress + ": " + code.message() };
  }
  mOpen = true;
  mHasExchanged = false;
  beast::error_code ignored;
  mStream.socket().set_option(tcp::no_delay(true), ignored);
  SetKeepAlive(mStream.socket().native_handle());
  return boost::outcome_v2::success();
}

exchange_result
http_client_connection::Exchange(const http_request& aRequest,
                                 nanoseconds aTimeout)
{
  return ExchangeWithin(aRequest, aTimeout, nullptr);
}

exchange_result
http_client_connection::ExchangeLarge(const http_request& aRequest,
                                      nanoseconds aTimeout,
                                      const large_response_options& aOptions)
{
  return ExchangeWithin(aRequest, aTimeout, &aOptions);
}

exchange_result
http_client_connection::ExchangeWithin(const http_request& aRequest,
                                       nanoseconds aTimeout,
                                       const large_response_options* aLarge)
{
  exchange_result outcome;
  if (!IsReusable()) {
    outcome.mFailure = "the connection was closed or has unread data";
    Close();
    return outcome;
  }
  mStream.expires_after(aTimeout);
  beast::error_code code = WriteRequest(aRequest, outcome);
  if (!code) {
    code = ReadResponse(aLarge, outcome);
  }
  if (code) {
    outcome.mFailure = code.message();
    outcome.mIsTooLarge = code == http::error::body_limit;
    Close();
    return outcome;
  }
  // On a connection's first exchange, the first response can only be that of
  // its request.
  if (mHasExchanged && HasUnreadData()) {
    outcome.mFailure = "more data than one response was received";
    outcome.mResponse = {};
    Close();
    return outcome;
  }
  mHasExchanged = true;
  mStream.expires_never();
  if (!outcome.mResponse.keep_alive()) {
    Close();
  }
  return outcome;
}

beast::error_code
http_client_connection::WriteRequest(const http_request& aRequest,
                                     exchange_result& aOutcome)
{
  beast::error_code code;
  fiber_wait wait;
  http::async_write(mStream,
                    aRequest,
                    [&](const beast::error_code& aResult, std::size_t aBytes) {
                      code = aResult;
                      if (aBytes > 0) {
                        aOutcome.mProgress = exchange_progress::MaybeSent;
                      }
                      wait.Notify();
                    });
  wait.Wait();
  return code;
}

beast::error_code
http_client_connection::ReadResponse(const large_response_options* aLarge,
                                     exchange_result& aOutcome)
{
  std::optional<http::response_parser<http::string_body>> parser;
  beast::error_code code;
  const auto onRead = [&](fiber_wait& aWait) {
    return
      [&, &wait = aWait](const beast::error_code& aResult, std::size_t aBytes) {
        code = aResult;
        aOutcome.mReceivedBytes += aBytes;
        wait.Notify();
      };
  };
  do {
    parser.emplace();
    if (aLarge != nullptr) {
      parser->body_limit(aLarge->mMaxBytes);
    }
    fiber_wait headerWait;
    http::async_read_header(mStream, mBuffer, *parser, onRead(headerWait));
    headerWait.Wait();
  } while (!code && IsInterim(parser->get()));
  if (!code && aLarge != nullptr && aLarge->mOnHeader) {
    aLarge->mOnHeader();
  }
  while (!code && !parser->is_done()) {
    if (aLarge != nullptr) {
      mStream.expires_after(aLarge->mMaxPause);
    }
    fiber_wait partWait;
    http::async_read_some(mStream, mBuffer, *parser, onRead(partWait));
    partWait.Wait();
  }
  aOutcome.mResponse = parser->release();
  return code;
}

void
http_client_connection::DiscardUnsentOnClose()
{
  beast::error_code ignored;
  mStream.socket().set_option(boost::asio::socket_base::linger(true, 0),
                              ignored);
}

bool
http_client_connection::IsReusable()
{
  return mOpen && mBuffer.size() == 0 &&
         Peek(mStream.socket()) == peek_result::NoData;
}

bool
http_client_connection::HasUnreadData()
{
  return mBuffer.size() > 0 || Peek(mStream.socket()) == peek_result::Data;
}

void
http_client_connection::Close()
{
  mOpen = false;
  mBuffer.clear();
  mStream.close();
}

result<http_response>
FetchOnce(event_loop& aLoop,
          const std::string& aAddress,
          const http_request& aRequest,
          milliseconds aTimeout)
{
  http_client_connection connection(aLoop);
  BOOST_OUTCOME_TRY(connection.Connect(aAddress, aTimeout));
  exchange_result outcome = connection.Exchange(aRequest, aTimeout);
  if (!outcome.IsOk()) {
    return error{ error_kind::PlatformUnavailable,
                  aAddress + ": " + outcome.mFailure };
  }
  return std::move(outcome.mResponse);
}

} // namespace catkinloom
