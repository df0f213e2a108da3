#pragma once

#include "clClock.h"
#include "clLogPosition.h"
#include "clManifest.h"
#include "clNameIndex.h"

#include <boost/container/small_vector.hpp>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace catkinloom {

/// Row number of a group in the group table.
using group_row_number = std::uint32_t;

/// Number of an instance within its group.
using instance_number = std::uint32_t;

struct instance_row;

/// Updates the smoothed response time and deviation of an instance with the
/// response time of one data request.
void
SmoothResponseTime(instance_row& aRow, nanoseconds aResponseTime);

/// Estimate within which nearly every response of the instance arrives: the
/// smoothed response time plus four mean deviations.
nanoseconds
ExpectedResponseTime(const instance_row& aRow);

/// Set of instances of one group, one bit each.
using instance_set = std::uint32_t;

/// Maximum number of instances in a group.
constexpr std::size_t kMaxInstancesPerGroup = 9;

/// State that one instance reported in one response.
struct instance_report
{
  /// Term that the instance has adopted.
  term_number mTerm = 0;
  /// Position of the last entry of its log.
  log_position mLog;
  /// True if it is the primary of mTerm.
  bool mLeads = false;
  /// Time since it last received data from its primary; zero on a primary.
  milliseconds mTimeSincePrimaryContact{ 0 };
  /// Name of the instance that it replicates from; empty if there is none.
  std::string mFollows;
  /// Open connections that the instance counts, from all clients.
  std::uint32_t mConnections = 0;
  /// Open connections that the instance counts from this proxy.
  std::uint32_t mOwnConnections = 0;
};

/// One instance and the latest evidence about it. The fields that routing reads
/// come first, so that a decision touches few cache lines.
struct instance_row
{
  std::optional<instance_report> mReport;
  /// Time at which the request that mReport responds to was sent.
  time_point mSentAt;
  /// Time of the first failure in the current run of failures; empty after a
  /// success.
  std::optional<time_point> mFailingSince;
  /// Smoothed response time of data requests, and its smoothed deviation.
  nanoseconds mResponseTime{ 0 };
  nanoseconds mResponseTimeDeviation{ 0 };
  /// Requests that this proxy has in flight on the instance.
  std::uint32_t mInFlight = 0;
  /// The platform's VM list marks the instance's VM as leaving.
  bool mLeaving = false;
  manifest_instance mDeclared;
};

/// One observation of the end of the primary's log, its head.
struct head_sample
{
  time_point mSentAt;
  log_position mHead;
};

/// Ring buffer of recent observations of the end of the primary's log.
class head_history
{
public:
  /// Sets the minimum spacing of observations so that the history covers aAge.
  void SetCoveredAge(milliseconds aAge);

  /// Adds an observation. If the log end is unchanged, the latest observation
  /// gets the new time. An observation with a new log end is dropped if it
  /// follows the latest one within the minimum spacing, so that the history
  /// covers a long time.
  void Add(head_sample aSample);

  /// Called when a later term begins. Observations of the old term are valid
  /// only up to aConfirmedAt, when a majority last confirmed that term. Without
  /// such a time all observations are discarded.
  void EndTerm(std::optional<time_point> aConfirmedAt);

  /// Latest time, not after aConfirmedAt, at which the primary's log ended at
  /// or before aPosition. Empty if no observation proves one.
  std::optional<time_point> FreshAt(log_position aPosition,
                                    time_point aConfirmedAt) const;

  /// Time at which the primary's log was first observed to reach aPosition.
  /// Empty if that was not observed.
  std::optional<time_point> ReachedAt(log_position aPosition) const;

private:
  static constexpr std::size_t kMaxSamples = 256;

  /// Copy of the latest observation, which is enough for most queries.
  head_sample mLatestSample;
  nanoseconds mMinSpacing = milliseconds(25);
  std::size_t mCount = 0;
  std::size_t mNextIndex = 0;
  // Allocated separately, so that the rows of many groups stay close together
  // in memory.
  std::vector<head_sample> mSamples = std::vector<head_sample>(kMaxSamples);
};

/// One database group.
struct group_row
{
  /// Most groups have three instances, which are stored inline.
  using instance_list = boost::container::small_vector<instance_row, 3>;

  std::string mName;
  acknowledge_policy mAcknowledge = acknowledge_policy::Confirmed;
  instance_list mInstances;
  head_history mHeadHistory;
  /// Smallest staleness bound of the reads seen lately; valid until
  /// mBoundedReadsUntil.
  milliseconds mMinStalenessBound{ 0 };
  time_point mBoundedReadsUntil;
  /// The current manifest no longer contains the group. Its row number is not
  /// reused.
  bool mRetired = false;

  /// Number of instances that form a majority.
  std::size_t Majority() const { return mInstances.size() / 2 + 1; }
};

/// All groups that this proxy knows, by name or row number.
class group_table
{
public:
  /// Applies the declared groups. A group keeps its row number permanently, and
  /// evidence about an instance is kept if its name and address are unchanged.
  void Apply(const std::vector<manifest_group>& aGroups);

  /// Sets the largest staleness bound that any read declares.
  void SetMaxStalenessBound(milliseconds aAge);

  /// Records a read that declares a staleness bound; see NextProbeDelay.
  void RecordBoundedStalenessRead(group_row_number aGroup,
                                  milliseconds aAge,
                                  time_point aNow);

  std::optional<group_row_number> Find(std::string_view aName) const;

  group_row& Group(group_row_number aGroup) { return mGroups[aGroup]; }
  const group_row& Group(group_row_number aGroup) const
  {
    const group_row& row = mGroups[aGroup];
    PrefetchRow(row);
    return row;
  }

  std::size_t Size() const { return mGroups.size(); }

  /// Records an instance's response to a request sent at aSentAt. Responses to
  /// older requests than the recorded one and reports of a lower term are
  /// ignored.
  void Record(group_row_number aGroup,
              instance_number aInstance,
              instance_report aReport,
              time_point aSentAt);

  /// Records the term and the log end that a data response carried. Ignored if
  /// the instance's last report has another term.
  void RecordProgress(group_row_number aGroup,
                      instance_number aInstance,
                      term_number aTerm,
                      log_position aLog,
                      time_point aSentAt);

  /// Records that an instance did not respond.
  void RecordFailure(group_row_number aGroup,
                     instance_number aInstance,
                     time_point aNow);

private:
  /// Prefetches all cache lines of a row: a decision reads most of them, and
  /// without the prefetch their load latencies would add up.
  static void PrefetchRow(const group_row& aRow)
  {
    const auto* line = reinterpret_cast<const char*>(&aRow);
    for (std::size_t i = 0; i < sizeof(group_row); i += kCacheLineBytes) {
      __builtin_prefetch(line + i);
    }
  }

  static constexpr std::size_t kCacheLineBytes = 64;

  // A deque, so that references stay valid when groups are added.
  std::deque<group_row> mGroups;
  name_index mIndex;
};

/// Number of the named instance; empty if the group does not contain it.
std::optional<instance_number>
FindInstance(const group_row& aGroup, std::string_view aName);

/// Highest term that any instance of the group has reported.
term_number
HighestTerm(const group_row& aGroup);

/// Latest time at which a majority was still in aTerm, with no later term
/// adopted by any instance of that majority. Empty if no majority reported
/// aTerm.
std::optional<time_point>
TermConfirmedAt(const group_row& aGroup, term_number aTerm);

/// True if a majority reported aTerm and a log that reaches aPosition.
bool
IsConfirmed(const group_row& aGroup, term_number aTerm, log_position aPosition);

/// The primary of the highest reported term; empty if none is known.
std::optional<instance_number>
PrimaryOf(const group_row& aGroup);

} // namespace catkinloom
