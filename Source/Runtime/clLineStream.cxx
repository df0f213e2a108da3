#include "clLineStream.h"

#include "clEndpoint.h"
#include "clEventLoop.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <sys/socket.h>

namespace catkinloom {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

namespace {

/// Minimum free buffer space for each read.
constexpr std::size_t kReadBytes = 4096;

constexpr std::string_view kLineEnd = "\r\n";

/// Time that sent data may stay unacknowledged before the kernel closes the
/// connection (TCP_USER_TIMEOUT), so that an unresponsive peer is detected even
/// when no response is awaited.
constexpr int kUserTimeoutMs = 3000;

void
SetOptions(tcp::socket& aSocket)
{
  error_code ignored;
  aSocket.set_option(tcp::no_delay(true), ignored);
  aSocket.non_blocking(true, ignored);
#ifdef TCP_USER_TIMEOUT
  ::setsockopt(aSocket.native_handle(),
               IPPROTO_TCP,
               TCP_USER_TIMEOUT,
               &kUserTimeoutMs,
               sizeof(kUserTimeoutMs));
#endif
}

} // namespace

line_stream::line_stream(event_loop& aLoop, std::size_t aMaxLineBytes)
  : mLoop(aLoop)
  , mSocket(aLoop.Context())
  , mTimer(aLoop.Context())
  , mMaxLineBytes(aMaxLineBytes)
{
}

line_stream::line_stream(event_loop& aLoop,
                         socket_type aSocket,
                         std::size_t aMaxLineBytes)
  : mLoop(aLoop)
  , mSocket(std::move(aSocket))
  , mTimer(aLoop.Context())
  , mMaxLineBytes(aMaxLineBytes)
{
  SetOptions(mSocket);
}

void
line_stream::SetDeadline(nanoseconds aTimeout)
{
  mTimedOut = false;
  mDeadline = std::chrono::steady_clock::now() + aTimeout;
  if (!mTimerExpiry || *mTimerExpiry > *mDeadline) {
    StartTimer(*mDeadline);
  }
}

void
line_stream::StartTimer(std::chrono::steady_clock::time_point aExpiry)
{
  mTimerExpiry = aExpiry;
  mTimer.expires_at(aExpiry);
  mTimer.async_wait([self = weak_from_this()](const error_code& aCode) {
    const auto stream = self.lock();
    if (stream && !aCode) {
      stream->OnTimer();
    }
  });
}

void
line_stream::OnTimer()
{
  mTimerExpiry.reset();
  if (!mDeadline) {
    return;
  }
  if (std::chrono::steady_clock::now() < *mDeadline) {
    StartTimer(*mDeadline);
    return;
  }
  mTimedOut = true;
  Close();
}

result<void>
line_stream::Connect(const std::string& aAddress, nanoseconds aTimeout)
{
  BOOST_OUTCOME_TRY(const tcp::endpoint endpoint, ParseEndpoint(aAddress));
  error_code code;
  fiber_wait wait;
  const auto self = shared_from_this();
  mDataBegin = mDataEnd = mScannedEnd = 0;
  SetDeadline(aTimeout);
  mSocket.async_connect(endpoint, [&](const error_code& aResult) {
    code = aResult;
    wait.Notify();
  });
  wait.Wait();
  ClearDeadline();
  if (code || !mSocket.is_open()) {
    Close();
    return error{ code == boost::asio::error::connection_refused
                    ? error_kind::UpstreamRefused
                    : error_kind::UpstreamUnreachable,
                  aAddress + ": " +
                    (mTimedOut ? "no answer in time" : code.message()) };
  }
  SetOptions(mSocket);
  return boost::outcome_v2::success();
}

bool
line_stream::Write(std::string_view aBytes, nanoseconds aTimeout)
{
  if (!mSocket.is_open()) {
    return false;
  }
  error_code code;
  const std::size_t sent =
    mSocket.write_some(asio::buffer(aBytes.data(), aBytes.size()), code);
  if (!code && sent == aBytes.size()) {
    return true;
  }
  if (code && code != asio::error::would_block) {
    Close();
    return false;
  }
  const std::string_view rest = aBytes.substr(code ? 0 : sent);
  fiber_wait wait;
  const auto self = shared_from_this();
  SetDeadline(aTimeout);
  asio::async_write(mSocket,
                    asio::buffer(rest.data(), rest.size()),
                    [&](const error_code& aResult, std::size_t) {
                      code = aResult;
                      wait.Notify();
                    });
  wait.Wait();
  ClearDeadline();
  if (code) {
    Close();
  }
  return !code;
}

bool
line_stream::NextBufferedLine(std::string_view& aLine)
{
  const std::string_view received =
    std::string_view(mBuffer).substr(0, mDataEnd);
  const std::size_t found = received.find(kLineEnd, mScannedEnd);
  if (found == std::string_view::npos) {
    // The first byte of a line ending may be the last one received.
    mScannedEnd = mDataEnd > mDataBegin ? mDataEnd - 1 : mDataBegin;
    return false;
  }
  aLine = received.substr(mDataBegin, found - mDataBegin);
  mDataBegin = found + kLineEnd.size();
  mScannedEnd = mDataBegin;
  return true;
}

bool
line_stream::IsLineTooLong() const
{
  return mDataEnd - mDataBegin > mMaxLineBytes;
}

void
line_stream::PrepareReadBuffer()
{
  if (mDataBegin > 0) {
    std::memmove(
      mBuffer.data(), mBuffer.data() + mDataBegin, mDataEnd - mDataBegin);
    mDataEnd -= mDataBegin;
    mScannedEnd -= mDataBegin;
    mDataBegin = 0;
  }
  if (mBuffer.size() < mDataEnd + kReadBytes) {
    mBuffer.resize(mDataEnd + kReadBytes);
  }
}

line_read_result
line_stream::ReadLine(std::string_view& aLine, nanoseconds aTimeout)
{
  if (NextBufferedLine(aLine)) {
    return line_read_result::Line;
  }
  const auto self = shared_from_this();
  SetDeadline(aTimeout);
  while (true) {
    if (IsLineTooLong()) {
      ClearDeadline();
      return line_read_result::TooLong;
    }
    if (!mSocket.is_open()) {
      ClearDeadline();
      return mTimedOut ? line_read_result::TimedOut : line_read_result::Closed;
    }
    PrepareReadBuffer();
    error_code code;
    std::size_t bytesRead = 0;
    fiber_wait wait;
    mSocket.async_read_some(
      asio::buffer(mBuffer.data() + mDataEnd, mBuffer.size() - mDataEnd),
      [&](const error_code& aResult, std::size_t aBytes) {
        code = aResult;
        bytesRead = aBytes;
        wait.Notify();
      });
    wait.Wait();
    mDataEnd += bytesRead;
    if (bytesRead > 0 && NextBufferedLine(aLine)) {
      ClearDeadline();
      return line_read_result::Line;
    }
    if (code) {
      ClearDeadline();
      Close();
      return mTimedOut ? line_read_result::TimedOut : line_read_result::Closed;
    }
  }
}

void
line_stream::WaitReadable(readable_handler aHandler)
{
  PrepareReadBuffer();
  mSocket.async_read_some(
    asio::buffer(mBuffer.data() + mDataEnd, mBuffer.size() - mDataEnd),
    [self = shared_from_this(), handler = std::move(aHandler)](
      const error_code& aResult, std::size_t aBytes) {
      self->mDataEnd += aBytes;
      if (aResult) {
        self->Close();
      }
      handler(!aResult);
    });
}

bool
line_stream::ReadAvailable()
{
  while (mSocket.is_open() && !IsLineTooLong()) {
    PrepareReadBuffer();
    error_code code;
    mDataEnd += mSocket.read_some(
      asio::buffer(mBuffer.data() + mDataEnd, mBuffer.size() - mDataEnd), code);
    if (code == asio::error::would_block) {
      return true;
    }
    if (code) {
      Close();
    }
  }
  return mSocket.is_open();
}

void
line_stream::Close()
{
  error_code ignored;
  mSocket.close(ignored);
}

} // namespace catkinloom
