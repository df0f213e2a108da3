#pragma once

#include "clClock.h"
#include "clError.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace catkinloom {

class event_loop;

/// How reading a line ended.
enum class line_read_result
{
  Line,
  /// The other side closed or broke the connection.
  Closed,
  TimedOut,
  /// The line is longer than is allowed.
  TooLong,
};

/// A TCP connection that carries lines, used by one fiber at a time.
///
/// While it waits for its next line outside a fiber it holds only its socket.
/// A time limit is kept by one timer that is set anew only when it fires, so
/// that an exchange costs no system call for its limit.
class line_stream : public std::enable_shared_from_this<line_stream>
{
public:
  using socket_type = boost::asio::ip::tcp::socket;
  /// True: bytes are there.  False: the connection has ended.
  using readable_handler = std::function<void(bool)>;

  line_stream(event_loop& aLoop, std::size_t aMaxLineBytes);
  line_stream(event_loop& aLoop,
              socket_type aSocket,
              std::size_t aMaxLineBytes);

  /// Connects within the time.  Errors: UpstreamUnreachable, BadSettings.
  result<void> Connect(const std::string& aAddress, nanoseconds aTimeout);

  /// Sends everything; false when the connection is broken or the time is up.
  bool Write(std::string_view aBytes, nanoseconds aTimeout);

  /// Next line without its end, good until the next read.  Suspends the
  /// calling fiber until there is one.
  line_read_result ReadLine(std::string_view& aLine, nanoseconds aTimeout);

  /// Next line if it has already come; suspends nothing.
  bool NextBufferedLine(std::string_view& aLine);

  /// Calls the handler once when bytes have come or the connection has ended.
  /// Needs no fiber.
  void WaitReadable(readable_handler aHandler);

  /// True when the other side has sent nothing unasked and has not closed.
  bool IsReusable();

  bool IsOpen() const { return mSocket.is_open(); }
  /// The buffered line is longer than is allowed.
  bool IsLineTooLong() const;
  void Close();

private:
  void SetDeadline(nanoseconds aTimeout);
  void ClearDeadline() { mDeadline.reset(); }
  void StartTimer(std::chrono::steady_clock::time_point aAt);
  void OnTimer();
  void PrepareReadBuffer();

  event_loop& mLoop;
  socket_type mSocket;
  boost::asio::steady_timer mTimer;
  std::optional<std::chrono::steady_clock::time_point> mDeadline;
  std::optional<std::chrono::steady_clock::time_point> mTimerExpiry;
  bool mTimedOut = false;
  std::size_t mMaxLineBytes;
  std::string mBuffer;
  std::size_t mDataBegin = 0;
  std::size_t mDataEnd = 0;
  /// Bytes up to here are known to hold no line end.
  std::size_t mScannedEnd = 0;
};

} // namespace catkinloom
