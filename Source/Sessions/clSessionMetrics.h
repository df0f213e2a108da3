#pragma once

#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace catkinloom {

/// Figures of session serving, as the metrics address shows them.
class session_metrics
{
public:
  session_metrics();

  /// All figures in the text format of Prometheus.
  std::string Text() const;

  /// Counts one answered statement by its end: `done` or an error's name.
  void CountStatement(const std::string& aResult);

private:
  // Declared before the references below, which point into it.
  std::shared_ptr<prometheus::Registry> mRegistry;
  prometheus::Family<prometheus::Counter>& mStatements;

public:
  prometheus::Counter& mReadsByReplica;
  prometheus::Counter& mReadsByLeader;
  prometheus::Counter& mRetries;
  prometheus::Counter& mConnectionsOpened;
  prometheus::Counter& mInternalStatements;
  prometheus::Counter& mStoreCalls;
  prometheus::Counter& mStoreFailures;
  prometheus::Counter& mPromotions;
  prometheus::Counter& mLogLinesSuppressed;
  prometheus::Gauge& mDesiredVersion;
  prometheus::Gauge& mSessions;
  prometheus::Histogram& mStatementSeconds;
};

} // namespace catkinloom
