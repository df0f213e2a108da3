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
                    "Requests of callers by outcome.",
                    { { "outcome", aOutcome } });
}

prometheus::Counter&
ReadCounter(prometheus::Registry& aRegistry, const std::string& aServedBy)
{
  return AddCounter(aRegistry,
                    "catkinloom_reads_total",
                    "Reads by the kind of instance that served them.",
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
                        "Requests sent to an upstream a second time."))
  , mOutcomesResolved(AddCounter(*mRegistry,
                                 "catkinloom_outcomes_resolved_total",
                                 "Uncertain writes found to have run."))
  , mConnectionsOpened(
      AddCounter(*mRegistry,
                 "catkinloom_upstream_connections_opened_total",
                 "Connections opened to upstreams."))
  , mConnectionsReused(
      AddCounter(*mRegistry,
                 "catkinloom_upstream_connections_reused_total",
                 "Requests sent on a kept connection."))
  , mConnectionsBroken(
      AddCounter(*mRegistry,
                 "catkinloom_upstream_connections_broken_total",
                 "Connections closed with a request on them."))
  , mConnectionResets(
      AddCounter(*mRegistry,
                 "catkinloom_upstream_resets_total",
                 "Connections cleaned of another request's state."))
  , mQueueDropped(AddCounter(*mRegistry,
                             "catkinloom_queue_dropped_total",
                             "Waiting requests whose deadline had passed."))
  , mPromotions(AddCounter(*mRegistry,
                           "catkinloom_promotions_total",
                           "Primaries that this proxy put in place."))
  , mPlatformCalls(AddCounter(*mRegistry,
                              "catkinloom_platform_calls_total",
                              "Calls to the platform's service."))
  , mPlatformFailures(AddCounter(*mRegistry,
                                 "catkinloom_platform_failures_total",
                                 "Calls to the platform that got no answer."))
  , mPeerMessages(AddCounter(*mRegistry,
                             "catkinloom_peer_messages_total",
                             "Messages sent to other proxies."))
  , mRequestsForwarded(
      AddCounter(*mRegistry,
                 "catkinloom_forwarded_total",
                 "Requests handed to a proxy that serves the group."))
  , mControlBytes(
      AddCounter(*mRegistry,
                 "catkinloom_control_bytes_total",
                 "Bytes of probes and of messages between proxies."))
  , mManifestVersion(AddGauge(*mRegistry,
                              "catkinloom_manifest_version",
                              "Version of the manifest in force."))
  , mCallerConnections(AddGauge(*mRegistry,
                                "catkinloom_caller_connections",
                                "Connections that callers hold."))
  , mRequestSeconds(prometheus::BuildHistogram()
                      .Name("catkinloom_request_seconds")
                      .Help("Time from a request's arrival to its answer.")
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
