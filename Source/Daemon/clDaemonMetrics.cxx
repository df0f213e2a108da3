#include "clDaemonMetrics.h"

#include "clMetricFamilies.h"

namespace catkinloom {

namespace {

const prometheus::Histogram::BucketBoundaries kRequestDurationBuckets{
  0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10
};

prometheus::Counter&
RequestCounter(prometheus::Registry& aRegistry, const std::string& aOutcome)
{
  return AddCounter(aRegistry,
                    "catkinloom_requests_total",
                    "Requests of callers, by outcome.",
                    { { "outcome", aOutcome } });
}

prometheus::Counter&
ReadCounter(prometheus::Registry& aRegistry, const std::string& aServedBy)
{
  return AddCounter(aRegistry,
                    "catkinloom_reads_total",
                    "Reads, by the role of the instance that served them.",
                    { { "served_by", aServedBy } });
}

} // namespace

daemon_metrics::daemon_metrics()
  : mRegistry(std::make_shared<prometheus::Registry>(
      prometheus::Registry::InsertBehavior::Merge))
  , mRequestsDone(RequestCounter(*mRegistry, "done"))
  , mRequestsNotRun(RequestCounter(*mRegistry, "not_run"))
  , mRequestsUnknown(RequestCounter(*mRegistry, "unknown"))
  , mReadsByReplica(ReadCounter(*mRegistry, "replica"))
  , mReadsByPrimary(ReadCounter(*mRegistry, "primary"))
  , mRetries(AddCounter(*mRegistry,
                        "catkinloom_retries_total",
                        "Requests sent to an upstream again."))
  , mOutcomesResolved(
      AddCounter(*mRegistry,
                 "catkinloom_outcomes_resolved_total",
                 "Uncertain writes whose outcome was determined later."))
  , mConnectionsOpened(
      AddCounter(*mRegistry,
                 "catkinloom_upstream_connections_opened_total",
                 "Connections opened to upstreams."))
  , mConnectionsReused(
      AddCounter(*mRegistry,
                 "catkinloom_upstream_connections_reused_total",
                 "Requests sent on a pooled connection."))
  , mConnectionsBroken(
      AddCounter(*mRegistry,
                 "catkinloom_upstream_connections_broken_total",
                 "Connections closed before the response to a request."))
  , mConnectionResets(AddCounter(*mRegistry,
                                 "catkinloom_upstream_resets_total",
                                 "Connection resets sent to upstreams."))
  , mQueueDropped(AddCounter(
      *mRegistry,
      "catkinloom_queue_dropped_total",
      "Queued requests dropped because their deadline could not be met."))
  , mPromotions(
      AddCounter(*mRegistry,
                 "catkinloom_promotions_total",
                 "Promotions by this proxy that an instance granted."))
  , mPlatformCalls(AddCounter(*mRegistry,
                              "catkinloom_platform_calls_total",
                              "Calls to the platform API."))
  , mPlatformFailures(
      AddCounter(*mRegistry,
                 "catkinloom_platform_failures_total",
                 "Calls to the platform API that got no response."))
  , mHeartbeatsSent(AddCounter(*mRegistry,
                               "catkinloom_peer_messages_total",
                               "Heartbeats sent to other proxies."))
  , mRequestsForwarded(
      AddCounter(*mRegistry,
                 "catkinloom_forwarded_total",
                 "Requests forwarded to a proxy that serves the group."))
  , mControlBytes(
      AddCounter(*mRegistry,
                 "catkinloom_control_bytes_total",
                 "Bytes of control traffic to instances and between proxies."))
  , mManifestVersion(AddGauge(*mRegistry,
                              "catkinloom_manifest_version",
                              "Version of the manifest in force."))
  , mCallerConnections(AddGauge(*mRegistry,
                                "catkinloom_caller_connections",
                                "Open connections from callers."))
  , mRequestSeconds(
      prometheus::BuildHistogram()
        .Name("catkinloom_request_seconds")
        .Help("Time from the arrival of a request to its response, in seconds.")
        .Register(*mRegistry)
        .Add({}, kRequestDurationBuckets))
{
}

std::string
daemon_metrics::Text() const
{
  return SerializeMetrics(*mRegistry);
}

} // namespace catkinloom
