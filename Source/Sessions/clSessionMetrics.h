#pragma once

#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace catkinloom {

/// Metrics of session processing, exported at the metrics address.
class session_metrics
{
public:
  session_metrics();

  /// Returns all metrics in the Prometheus text format.
  std::string Text() const;

  /// Counts one completed statement.  aResult is `done` or the name of an
  /// error.
  void CountStatement(const std::string& aResult);

private:
  // Must be declared before the references below, which refer into it.
  std::shared_ptr<prometheus::Registry> mRegistry;
  prometheus::Family<prometheus::Counter>& mStatements;

public:
  prometheus::Counter& mReadsByReplica;
  prometheus::Counter& mReadsByLeader;
  prometheus::Counter& mRetries;
  prometheus::Counter& mConnectionsOpened;
  prometheus::Counter& mInternalStatements;
  prometheus::Counter& mForeignResponses;
  prometheus::Counter& mConnectionsOutOfStep;
  prometheus::Counter& mStoreCalls;
  prometheus::Counter& mStoreFailures;
  prometheus::Counter& mListingFailures;
  prometheus::Counter& mWatchFailures;
  prometheus::Counter& mWatchRestarts;
  prometheus::Counter& mPromotions;
  prometheus::Counter& mUnansweredPromotions;
  prometheus::Counter& mLogLinesSuppressed;
  prometheus::Gauge& mGroupsWithoutLeader;
  prometheus::Gauge& mStoreGeneration;
  prometheus::Gauge& mDesiredVersion;
  prometheus::Gauge& mDesiredCheckAge;
  prometheus::Gauge& mSessions;
  prometheus::Histogram& mStatementSeconds;
};

} // namespace catkinloom
