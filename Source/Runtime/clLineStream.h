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

/// Result of reading a line.
enum class line_read_result
{
  Line,
  /// The connection was closed or failed.
  Closed,
  TimedOut,
  /// The line exceeds the maximum length.
  TooLong,
};

/// TCP connection for a line-based protocol, used by one fiber at a time.
///
/// Waiting with WaitReadable needs no fiber.  One timer enforces the deadlines.
/// It is rescheduled only when it fires or when a deadline is earlier than its
/// expiry, so that most exchanges need no system call for their timeout.
class line_stream : public std::enable_shared_from_this<line_stream>
{
public:
  using socket_type = boost::asio::ip::tcp::socket;
  /// The argument is true when data was received, and false when the connection
  /// was closed.
  using readable_handler = std::function<void(bool)>;

  line_stream(event_loop& aLoop, std::size_t aMaxLineBytes);
  line_stream(event_loop& aLoop,
              socket_type aSocket,
              std::size_t aMaxLineBytes);

  /// Connects within the timeout.  Errors: UpstreamRefused if nothing listens
  /// at the address, UpstreamUnreachable, BadSettings.
  result<void> Connect(const std::string& aAddress, nanoseconds aTimeout);

  /// Sends all bytes.  Returns false when the connection fails or the timeout
  /// expires.
  bool Write(std::string_view aBytes, nanoseconds aTimeout);

  /// Reads the next line, without its line ending; suspends the calling fiber
  /// until one is received.  aLine is valid until the next read.  The
  /// connection is closed when the timeout expires.
  line_read_result ReadLine(std::string_view& aLine, nanoseconds aTimeout);

  /// Returns the next line if it is already buffered; never suspends.
  bool NextBufferedLine(std::string_view& aLine);

  /// Reads into the buffer and calls the handler once data was received or the
  /// connection was closed.  Needs no fiber.
  void WaitReadable(readable_handler aHandler);

  /// Receives what has arrived already; never suspends.  False if the
  /// connection is closed.
  bool ReadAvailable();

  /// True if bytes were received that no read has returned.
  bool HasBufferedData() const { return mDataEnd != mDataBegin; }

  bool IsOpen() const { return mSocket.is_open(); }
  /// True when the buffered data exceeds the maximum line length.
  bool IsLineTooLong() const;
  void Close();

private:
  void SetDeadline(nanoseconds aTimeout);
  void ClearDeadline() { mDeadline.reset(); }
  void StartTimer(std::chrono::steady_clock::time_point aExpiry);
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
  /// Range of the buffer that was received and not yet returned as a line.
  std::size_t mDataBegin = 0;
  std::size_t mDataEnd = 0;
  /// Buffered bytes before this offset do not begin a line ending.
  std::size_t mScannedEnd = 0;
};

} // namespace catkinloom
