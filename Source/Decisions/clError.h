#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include <string_view>

namespace catkinloom {

/// Every way in which a request or an operator's command can fail.
enum class error_kind
{
  BadRequest,
  BadSessionToken,
  SessionAhead,
  UnknownGroup,
  UnknownRequest,
  IdempotencyKeyRequired,
  RequestTooLarge,
  HeaderTimeout,
  DeadlineExceeded,
  Overloaded,
  NoCurrentPrimary,
  LeaderChanged,
  UpstreamRefused,
  UpstreamUnreachable,
  OutcomeUnknown,
  BadSettings,
  BadManifest,
  ManifestConflict,
  PlatformUnavailable,
  NotReady,
};

/// An error value: its kind and one sentence for the person who reads it.
struct error
{
  error_kind mKind;
  std::string mDetail;
};

/// Either a value or an error. Accessing the alternative that is not set
/// terminates the process, because it is a programming error.
template<class T>
using result = boost::outcome_v2::
  basic_result<T, error, boost::outcome_v2::policy::terminate>;

/// What is known about the execution of a request.
enum class request_outcome
{
  Done,
  NotRun,
  Unknown,
};

/// Stable name of an error kind in responses and logs.
std::string_view
ErrorName(error_kind aKind);

/// HTTP status with which an error kind is returned to a caller.
unsigned
HttpStatusOf(error_kind aKind);

/// Stable name of an outcome in responses and logs.
std::string_view
OutcomeName(request_outcome aOutcome);

} // namespace catkinloom
