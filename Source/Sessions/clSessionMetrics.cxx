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
                  .Help("Statements of callers by their end.")
                  .Register(*mRegistry))
  , mReadsByReplica(
      AddCounter(*mRegistry,
                 "catkinloom_session_reads_total",
                 "Reads by the kind of instance that served them.",
                 { { "served_by", "replica" } }))
  , mReadsByLeader(AddCounter(*mRegistry,
                              "catkinloom_session_reads_total",
                              "Reads by the kind of instance that served them.",
                              { { "served_by", "leader" } }))
  , mRetries(AddCounter(*mRegistry,
                        "catkinloom_statement_retries_total",
                        "Statements that were tried at another instance."))
  , mConnectionsOpened(
      AddCounter(*mRegistry,
                 "catkinloom_upstream_connections_opened_total",
                 "Connections opened to instances."))
  , mInternalStatements(
      AddCounter(*mRegistry,
                 "catkinloom_own_statements_total",
                 "Statements that the proxy sent for itself."))
  , mStoreCalls(AddCounter(*mRegistry,
                           "catkinloom_store_calls_total",
                           "Calls to the coordination store."))
  , mStoreFailures(AddCounter(*mRegistry,
                              "catkinloom_store_failures_total",
                              "Calls to the coordination store that failed."))
  , mPromotions(AddCounter(*mRegistry,
                           "catkinloom_promotion_orders_total",
                           "Promotions that this proxy ordered."))
  , mLogLinesSuppressed(AddCounter(*mRegistry,
                                   "catkinloom_log_lines_left_out_total",
                                   "Log lines over the allowed rate."))
  , mDesiredVersion(AddGauge(*mRegistry,
                             "catkinloom_desired_version",
                             "Version of the desired state in force."))
  , mSessions(
      AddGauge(*mRegistry, "catkinloom_sessions", "Sessions of callers."))
  , mStatementSeconds(prometheus::BuildHistogram()
                        .Name("catkinloom_statement_seconds")
                        .Help("Time from a statement's arrival to its answer.")
                        .Register(*mRegistry)
                        .Add({}, kLatencyBucketsSeconds))
{
}

std::string
session_metrics::Text() const
{
  return MetricsText(*mRegistry);
}

void
session_metrics::CountStatement(const std::string& aResult)
{
  mStatements.Add({ { "end", aResult } }).Increment();
}

} // namespace catkinloom
