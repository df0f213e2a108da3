#pragma once

#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace catkinloom {

/// Metrics of the daemon, served at /metrics.
class daemon_metrics
{
public:
  daemon_metrics();

  /// Returns all metrics in the Prometheus text format.
  std::string Text() const;

private:
  // Must be declared before the references below, which refer into it.
  std::shared_ptr<prometheus::Registry> mRegistry;

public:
  prometheus::Counter& mRequestsDone;
  prometheus::Counter& mRequestsNotRun;
  prometheus::Counter& mRequestsUnknown;
  prometheus::Counter& mReadsByReplica;
  prometheus::Counter& mReadsByPrimary;
  prometheus::Counter& mRetries;
  prometheus::Counter& mOutcomesResolved;
  prometheus::Counter& mConnectionsOpened;
  prometheus::Counter& mConnectionsReused;
  prometheus::Counter& mConnectionsBroken;
  prometheus::Counter& mConnectionResets;
  prometheus::Counter& mQueueDropped;
  prometheus::Counter& mPromotions;
  prometheus::Counter& mPlatformCalls;
  prometheus::Counter& mPlatformFailures;
  prometheus::Counter& mHeartbeatsSent;
  prometheus::Counter& mRequestsForwarded;
  prometheus::Counter& mControlBytes;
  prometheus::Gauge& mManifestVersion;
  prometheus::Gauge& mCallerConnections;
  prometheus::Histogram& mRequestSeconds;
};

} // namespace catkinloom
