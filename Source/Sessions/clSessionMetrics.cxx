#include "clSessionMetrics.h"

#include "clMetricFamilies.h"

namespace catkinloom {

namespace {

const prometheus::Histogram::BucketBoundaries kLatencyBucketsSeconds{
  0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10
};

} // namespace

session_metrics::session_metrics()
  : mRegistry(std::make_shared<prometheus::Registry>())
  , mStatements(prometheus::BuildCounter()
                  .Name("catkinloom_statements_total")
                  .Help("Completed caller statements by result.")
                  .Register(*mRegistry))
  , mReadsByReplica(
      AddCounter(*mRegistry,
                 "catkinloom_session_reads_total",
                 "Reads by role of the instance that served them.",
                 { { "served_by", "replica" } }))
  , mReadsByLeader(AddCounter(*mRegistry,
                              "catkinloom_session_reads_total",
                              "Reads by role of the instance that served them.",
                              { { "served_by", "leader" } }))
  , mRetries(AddCounter(*mRegistry,
                        "catkinloom_statement_retries_total",
                        "Statement attempts repeated after a failed attempt."))
  , mConnectionsOpened(
      AddCounter(*mRegistry,
                 "catkinloom_upstream_connections_opened_total",
                 "Attempts to open a pooled upstream connection."))
  , mInternalStatements(
      AddCounter(*mRegistry,
                 "catkinloom_own_statements_total",
                 "Statements sent to prepare connections or roll back."))
  , mForeignResponses(
      AddCounter(*mRegistry,
                 "catkinloom_upstream_foreign_responses_total",
                 "Responses to earlier statements, received again or late."))
  , mConnectionsOutOfStep(
      AddCounter(*mRegistry,
                 "catkinloom_upstream_connections_out_of_step_total",
                 "Connections closed since a response fits no statement."))
  , mStoreCalls(AddCounter(*mRegistry,
                           "catkinloom_store_calls_total",
                           "Calls to the coordination store."))
  , mStoreFailures(AddCounter(*mRegistry,
                              "catkinloom_store_failures_total",
                              "Failed calls to the coordination store."))
  , mListingFailures(
      AddCounter(*mRegistry,
                 "catkinloom_store_listing_failures_total",
                 "Failed listings of the keys that this proxy watches."))
  , mWatchFailures(AddCounter(*mRegistry,
                              "catkinloom_store_watch_failures_total",
                              "Failed watches of the store."))
  , mWatchRestarts(
      AddCounter(*mRegistry,
                 "catkinloom_store_watch_restarts_total",
                 "Watches abandoned before their response was complete."))
  , mPromotions(AddCounter(*mRegistry,
                           "catkinloom_promotion_orders_total",
                           "Promotion commands issued by this proxy."))
  , mUnansweredPromotions(AddCounter(
      *mRegistry,
      "catkinloom_promotion_orders_unanswered_total",
      "Promotion commands without a response; they may be executed later."))
  , mLogLinesSuppressed(
      AddCounter(*mRegistry,
                 "catkinloom_log_lines_left_out_total",
                 "Decision log lines suppressed by the rate limit."))
  , mGroupsWithoutLeader(AddGauge(*mRegistry,
                                  "catkinloom_groups_without_leader",
                                  "Groups whose leader is not known to lead."))
  , mStoreGeneration(AddGauge(
      *mRegistry,
      "catkinloom_store_generation",
      "Generation of the store; it increases when the store is restored."))
  , mDesiredVersion(AddGauge(*mRegistry,
                             "catkinloom_desired_version",
                             "Version of the desired state in effect."))
  , mDesiredCheckAge(
      AddGauge(*mRegistry,
               "catkinloom_desired_check_age_seconds",
               "Time since a listing or watch of the desired state ended "
               "successfully."))
  , mSessions(
      AddGauge(*mRegistry, "catkinloom_sessions", "Open caller sessions."))
  , mStatementSeconds(
      prometheus::BuildHistogram()
        .Name("catkinloom_statement_seconds")
        .Help("Time from receipt of a statement to its response.")
        .Register(*mRegistry)
        .Add({}, kLatencyBucketsSeconds))
{
}

std::string
session_metrics::Text() const
{
  return SerializeMetrics(*mRegistry);
}

void
session_metrics::CountStatement(const std::string& aResult)
{
  mStatements.Add({ { "end", aResult } }).Increment();
}

} // namespace catkinloom
