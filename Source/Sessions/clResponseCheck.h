#pragma once

#include "clStatement.h"

#include <boost/unordered/unordered_flat_set.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace catkinloom {

/// Kinds of responses to what a proxy sends to an instance.
enum class response_kind
{
  /// READY alone, the response to the opening message.
  Opened,
  /// Neither rows nor a signature: BEGIN, and statements of the proxy itself.
  Acknowledgement,
  /// One row without a signature: a command.
  Status,
  /// Any number of rows and a signature: a caller's read, write or COMMIT.
  Signed,
};

/// What is known about a response before it arrives.
struct expected_response
{
  response_kind mKind = response_kind::Signed;
  /// Phase of the session after the statement; empty if it stays the same, or
  /// for an acknowledgement if any will do.
  std::optional<session_phase> mPhase;
};

/// The parts of a complete response by which it is recognised.
struct received_response
{
  std::uint32_t mRows = 0;
  /// A line other than a row was received before READY.
  bool mHasResult = false;
  /// The instance's signature, or code and text of an error.  Empty if the
  /// response is not signed.
  std::string mText;
  std::optional<statement_error> mError;
  session_phase mPhase = session_phase::Idle;
};

enum class response_verdict
{
  /// The response to the statement.
  Accepted,
  /// An error that was not received on this connection before.
  Error,
  /// The same error was received on this connection before, so that this may
  /// be the earlier response again.
  UnconfirmedError,
  /// The response to an earlier statement, received again or late.  The
  /// response to the statement is still to come.
  Foreign,
  /// None of these; the connection can't be used any more.
  OutOfStep,
};

/// Decides whether a response belongs to the statement that was sent last on a
/// connection.
///
/// The protocol has no id in a response, and an instance may send a response
/// more than once, at any time.  It executes the statements of a connection in
/// the order in which they were sent, and no two signatures are equal.
/// Therefore a signature that was not received before belongs to the statement,
/// and proves that all earlier statements have been answered.
class response_check
{
public:
  /// Checks a response that was received after the statement was sent.
  response_verdict Check(const received_response& aResponse,
                         const expected_response& aExpected);

  /// Checks a response that was received before the statement was sent.  False
  /// if it can't be the response to an earlier statement.
  bool IsForeign(const received_response& aResponse) const;

  /// True if so many responses are remembered that the connection should be
  /// closed, in order to limit the memory for them.
  bool IsFull() const { return mReceived.size() >= kMaxReceived; }

  /// True if an error was received: the next one may be the same again.
  bool HasReceivedError() const { return mHasReceivedError; }

private:
  static constexpr std::size_t kMaxReceived = 2048;

  /// True if a response with this text was received before.
  bool Remember(const std::string& aText);

  /// Hashes of all signatures and errors received on this connection.
  boost::unordered_flat_set<std::size_t> mReceived;
  bool mHasReceivedError = false;
};

} // namespace catkinloom
