#include "clForwardProgress.h"

#include <doctest/doctest.h>

using namespace catkinloom;

TEST_CASE("forwarded_request_never_sent_has_not_run")
{
  forward_progress progress(false);
  CHECK(progress.Outcome() == request_outcome::NotRun);
  progress.RecordFailure(error_kind::UpstreamUnreachable);
  CHECK(progress.MayContinue());
  CHECK(progress.Outcome() == request_outcome::NotRun);
}

TEST_CASE("repeatable_forwarded_request_without_response_may_have_run")
{
  forward_progress progress(true);
  progress.RecordFailure(error_kind::OutcomeUnknown);
  CHECK(progress.MayContinue());
  progress.RecordFailure(error_kind::UpstreamUnreachable);
  CHECK(progress.Outcome() == request_outcome::Unknown);
}

TEST_CASE("forwarded_request_without_response_is_not_repeated")
{
  forward_progress progress(false);
  progress.RecordFailure(error_kind::OutcomeUnknown);
  CHECK_FALSE(progress.MayContinue());
  CHECK(progress.Outcome() == request_outcome::Unknown);
}
