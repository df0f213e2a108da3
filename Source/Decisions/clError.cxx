#include "clError.h"

#include <array>

namespace catkinloom {

namespace {

struct error_row
{
  error_kind mKind;
  std::string_view mName;
  unsigned mHttpStatus;
};

constexpr std::array kErrorRows{
  error_row{ error_kind::BadRequest, "bad_request", 400 },
  error_row{ error_kind::BadSessionToken, "bad_session_token", 400 },
  error_row{ error_kind::SessionAhead, "session_ahead", 409 },
  error_row{ error_kind::UnknownGroup, "unknown_group", 404 },
  error_row{ error_kind::UnknownRequest, "unknown_request", 404 },
  error_row{ error_kind::IdempotencyKeyRequired,
             "idempotency_key_required",
             400 },
  error_row{ error_kind::RequestTooLarge, "request_too_large", 413 },
  error_row{ error_kind::HeaderTimeout, "header_timeout", 408 },
  error_row{ error_kind::DeadlineExceeded, "deadline_exceeded", 504 },
  error_row{ error_kind::Overloaded, "overloaded", 503 },
  error_row{ error_kind::NoCurrentPrimary, "no_current_primary", 503 },
  error_row{ error_kind::LeaderChanged, "leader_changed", 503 },
  error_row{ error_kind::UpstreamRefused, "upstream_refused", 502 },
  error_row{ error_kind::UpstreamUnreachable, "upstream_unreachable", 502 },
  error_row{ error_kind::OutcomeUnknown, "outcome_unknown", 504 },
  error_row{ error_kind::BadSettings, "bad_settings", 400 },
  error_row{ error_kind::BadManifest, "bad_manifest", 422 },
  error_row{ error_kind::ManifestConflict, "manifest_conflict", 409 },
  error_row{ error_kind::PlatformUnavailable, "platform_unavailable", 503 },
  error_row{ error_kind::NotReady, "not_ready", 503 },
};

const error_row&
RowOf(error_kind aKind)
{
  for (const error_row& row : kErrorRows) {
    if (row.mKind == aKind) {
      return row;
    }
  }
  return kErrorRows.front();
}

} // namespace

std::string_view
ErrorName(error_kind aKind)
{
  return RowOf(aKind).mName;
}

unsigned
HttpStatusOf(error_kind aKind)
{
  return RowOf(aKind).mHttpStatus;
}

std::string_view
OutcomeName(request_outcome aOutcome)
{
  switch (aOutcome) {
    case request_outcome::Done:
      return "done";
    case request_outcome::NotRun:
      return "not-run";
    case request_outcome::Unknown:
      return "unknown";
  }
  return "unknown";
}

} // namespace catkinloom
