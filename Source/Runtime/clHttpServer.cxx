#include "clHttpServer.h"

#include "clEndpoint.h"
#include "clEventLoop.h"
#include "clLog.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/serialize.hpp>
#include <set>
#include <sys/socket.h>

namespace catkinloom {

namespace beast = boost::beast;
using tcp = boost::asio::ip::tcp;

namespace {

/// Maximum length of the kernel's queue of connections that are not accepted
/// yet.
constexpr int kListenBacklog = 4096;

http_response
ErrorResponse(error_kind aKind, std::string_view aDetail)
{
  boost::json::object body{ { "error", ErrorName(aKind) },
                            { "detail", aDetail } };
  http_response response =
    MakeResponse(HttpStatusOf(aKind), boost::json::serialize(body));
  SetHeader(response, header::kError, ErrorName(aKind));
  SetHeader(response, header::kOutcome, OutcomeName(request_outcome::NotRun));
  return response;
}

error_kind
ClassifyReadError(const beast::error_code& aCode)
{
  if (aCode == beast::error::timeout) {
    return error_kind::HeaderTimeout;
  }
  if (aCode == http::error::body_limit || aCode == http::error::header_limit ||
      aCode == http::error::buffer_overflow) {
    return error_kind::RequestTooLarge;
  }
  return error_kind::BadRequest;
}

bool
IsDisconnect(const beast::error_code& aCode)
{
  return aCode == http::error::end_of_stream ||
         aCode == http::error::partial_message ||
         aCode.category() == boost::system::system_category();
}

} // namespace

class http_connection;

namespace {

/// Shared by a read and its timeout timer, which may complete in either order.
struct read_state
{
  bool mCompleted = false;
  bool mTimedOut = false;
};

} // namespace

class http_server::shared_state
  : public std::enable_shared_from_this<http_server::shared_state>
{
public:
  shared_state(event_loop& aLoop, http_server_limits aLimits)
    : mLoop(aLoop)
    , mLimits(aLimits)
    , mAcceptor(aLoop.Context())
  {
  }

  void Accept();

  event_loop& mLoop;
  http_server_limits mLimits;
  tcp::acceptor mAcceptor;
  http_handler mHandler;
  http_closed_handler mClosedHandler;
  std::set<http_connection*> mConnections;
  std::uint64_t mAcceptedCount = 0;
  std::size_t mActiveRequests = 0;
  bool mDraining = false;
};

/// One accepted connection, kept alive by its pending operations.
class http_connection : public std::enable_shared_from_this<http_connection>
{
public:
  http_connection(std::shared_ptr<http_server::shared_state> aServer,
                  tcp::socket aSocket,
                  std::uint64_t aConnectionId)
    : mServer(std::move(aServer))
    , mSocket(std::move(aSocket))
    , mPeer{ aConnectionId }
  {
    mServer->mConnections.insert(this);
  }

  ~http_connection()
  {
    mServer->mConnections.erase(this);
    if (mServer->mClosedHandler) {
      mServer->mClosedHandler(mPeer);
    }
  }

  /// Waits for the next request; uses neither a fiber nor a buffer meanwhile.
  void WaitForRequest()
  {
    mIdle = true;
    mSocket.async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this()](const beast::error_code& aCode) {
        self->mIdle = false;
        if (aCode) {
          return;
        }
        self->mServer->mLoop.Spawn([self] { self->ServeReceivedRequests(); });
      });
  }

  void CloseIfIdle()
  {
    if (mIdle) {
      beast::error_code ignored;
      mSocket.shutdown(tcp::socket::shutdown_both, ignored);
      mSocket.close(ignored);
    }
  }

private:
  /// Serves the requests already received, then waits for the next one.
  void ServeReceivedRequests()
  {
    char peekedByte = 0;
    if (::recv(
          mSocket.native_handle(), &peekedByte, 1, MSG_PEEK | MSG_DONTWAIT) ==
        0) {
      return;
    }
    beast::tcp_stream stream(std::move(mSocket));
    beast::flat_buffer buffer;
    bool keepOpen = true;
    do {
      ++mServer->mActiveRequests;
      keepOpen = ServeRequest(stream, buffer);
      --mServer->mActiveRequests;
    } while (keepOpen && buffer.size() > 0);
    if (!keepOpen) {
      beast::error_code ignored;
      stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
      return;
    }
    mSocket = stream.release_socket();
    WaitForRequest();
  }

  bool ServeRequest(beast::tcp_stream& aStream, beast::flat_buffer& aBuffer)
  {
    http::request_parser<http::string_body> parser;
    parser.header_limit(
      static_cast<std::uint32_t>(mServer->mLimits.mHeaderBytes));
    parser.body_limit(mServer->mLimits.mBodyBytes);
    const beast::error_code code = Read(aStream, aBuffer, parser);
    if (code && IsDisconnect(code)) {
      return false;
    }
    if (code) {
      http_response errorResponse =
        ErrorResponse(ClassifyReadError(code),
                      "Cannot read the request: " + code.message() + ".");
      errorResponse.keep_alive(false);
      Log(log_level::Info,
          "caller",
          "Request could not be read; closing its connection. cause={}",
          code.message());
      Write(aStream, errorResponse, http::verb::unknown);
      return false;
    }
    http_request request = parser.release();
    const bool keepAlive = request.keep_alive();
    const http::verb method = request.method();
    http_response response = mServer->mHandler(request, mPeer);
    response.keep_alive(keepAlive && !mServer->mDraining);
    return Write(aStream, response, method) && response.keep_alive();
  }

  beast::error_code Read(beast::tcp_stream& aStream,
                         beast::flat_buffer& aBuffer,
                         http::request_parser<http::string_body>& aParser)
  {
    beast::error_code code;
    fiber_wait wait;
    const auto state = std::make_shared<read_state>();
    // The timeout of tcp_stream closes the socket, so no error response could
    // be sent; this timer only cancels the read.
    boost::asio::steady_timer timer(mServer->mLoop.Context(),
                                    mServer->mLimits.mReadTimeout);
    timer.async_wait([state, &aStream](const beast::error_code& aCancelled) {
      if (!aCancelled && !state->mCompleted) {
        state->mTimedOut = true;
        beast::error_code ignored;
        aStream.socket().cancel(ignored);
      }
    });
    http::async_read(aStream,
                     aBuffer,
                     aParser,
                     [&](const beast::error_code& aResult, std::size_t) {
                       code = aResult;
                       wait.Notify();
                     });
    wait.Wait();
    state->mCompleted = true;
    return state->mTimedOut ? beast::error_code(beast::error::timeout) : code;
  }

  /// Sends the response to a request with the given method.
  bool Write(beast::tcp_stream& aStream,
             http_response& aResponse,
             http::verb aMethod) const
  {
    aResponse.prepare_payload();
    beast::error_code code;
    fiber_wait wait;
    aStream.expires_after(mServer->mLimits.mWriteTimeout);
    http::response_serializer<http::string_body> serializer(aResponse);
    const auto onWritten = [&](const beast::error_code& aResult, std::size_t) {
      code = aResult;
      wait.Notify();
    };
    if (aMethod == http::verb::head) {
      http::async_write_header(aStream, serializer, onWritten);
    } else {
      http::async_write(aStream, serializer, onWritten);
    }
    wait.Wait();
    aStream.expires_never();
    return !code;
  }

  std::shared_ptr<http_server::shared_state> mServer;
  tcp::socket mSocket;
  http_peer mPeer;
  bool mIdle = false;
};

void
http_server::shared_state::Accept()
{
  mAcceptor.async_accept(
    [self = shared_from_this()](const beast::error_code& aCode,
                                tcp::socket aSocket) {
      if (self->mDraining || !self->mAcceptor.is_open()) {
        return;
      }
      if (!aCode) {
        beast::error_code ignored;
        aSocket.set_option(tcp::no_delay(true), ignored);
        std::make_shared<http_connection>(
          self, std::move(aSocket), ++self->mAcceptedCount)
          ->WaitForRequest();
        self->Accept();
        return;
      }
      // Retry later: the process may have run out of file descriptors.
      Log(log_level::Warning,
          "caller",
          "Accepting a connection failed; retrying in 100 ms. cause={}",
          aCode.message());
      self->mLoop.Spawn([self] {
        self->mLoop.Sleep(milliseconds(100));
        self->Accept();
      });
    });
}

http_server::http_server(event_loop& aLoop, http_server_limits aLimits)
  : mState(std::make_shared<shared_state>(aLoop, aLimits))
{
}

http_server::~http_server()
{
  Drain();
}

result<void>
http_server::Listen(const std::string& aAddress,
                    http_handler aHandler,
                    http_closed_handler aClosedHandler)
{
  BOOST_OUTCOME_TRY(const tcp::endpoint endpoint, ParseEndpoint(aAddress));
  mState->mHandler = std::move(aHandler);
  mState->mClosedHandler = std::move(aClosedHandler);
  beast::error_code code;
  tcp::acceptor& acceptor = mState->mAcceptor;
  acceptor.open(endpoint.protocol(), code);
  acceptor.set_option(tcp::acceptor::reuse_address(true), code);
  acceptor.bind(endpoint, code);
  if (code) {
    return error{ error_kind::BadSettings,
                  "Cannot listen on " + aAddress + ": " + code.message() +
                    ". Choose a free address of this VM." };
  }
  acceptor.listen(kListenBacklog, code);
  mState->Accept();
  return boost::outcome_v2::success();
}

void
http_server::Drain()
{
  mState->mDraining = true;
  beast::error_code ignored;
  mState->mAcceptor.close(ignored);
  for (http_connection* connection : mState->mConnections) {
    connection->CloseIfIdle();
  }
}

std::size_t
http_server::ConnectionCount() const
{
  return mState->mConnections.size();
}

std::size_t
http_server::ActiveRequests() const
{
  return mState->mActiveRequests;
}

} // namespace catkinloom
