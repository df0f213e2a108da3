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

/// Takes a data request's answer time into the smoothed figures.
void
SmoothAnswerTime(instance_row& aRow, nanoseconds aAnswerTime);

/// Time within which nearly every answer of the instance comes.
nanoseconds
ExpectedAnswerTime(const instance_row& aRow);

/// Set of instances of one group, one bit each.
using instance_set = std::uint32_t;

/// Most instances that one group may have.
constexpr std::size_t kMaxInstancesPerGroup = 9;

/// What one instance said about itself in one answer.
struct instance_report
{
  /// Term that the instance has adopted.
  term_number mTerm = 0;
  /// Last entry of its log.
  log_position mLog;
  /// It is the primary of mTerm.
  bool mLeads = false;
  /// How long it has not heard from its primary; zero on a primary.
  milliseconds mTimeSincePrimaryContact{ 0 };
  /// Instance that it follows; empty when it follows none.
  std::string mFollows;
  /// Connections that the instance counts as open, from everyone.
  std::uint32_t mConnections = 0;
  /// Connections that the instance counts as open from this proxy.
  std::uint32_t mOwnConnections = 0;
};

/// One instance and the freshest evidence about it.  What routing reads
/// stands first, so that a decision touches few cache lines.
struct instance_row
{
  std::optional<instance_report> mReport;
  /// When the question was sent to which mReport is the answer.
  time_point mSentAt;
  /// When the first of the present run of failures was seen.
  std::optional<time_point> mFailingSince;
  /// Smoothed answer time of data requests, and how far they stray from it.
  nanoseconds mAnswerTime{ 0 };
  nanoseconds mAnswerDeviation{ 0 };
  /// Requests that this proxy has in flight on the instance.
  std::uint32_t mInFlight = 0;
  /// The platform's list says that the VM is leaving.
  bool mLeaving = false;
  manifest_instance mDeclared;
};

/// One observation of where the primary's log ended.
struct head_sample
{
  time_point mSentAt;
  log_position mHead;
};

/// Recent observations of the primary's log end, oldest overwritten first.
class head_history
{
public:
  /// Sets the spacing so that the history covers an age.
  void SetCoveredAge(milliseconds aAge);

  /// Adds an observation; observations closer than the spacing are merged by
  /// keeping the earlier one, so that the history covers a long age.
  void Add(head_sample aSample);

  /// A later term began.  What was observed of the old one counts up to the
  /// moment at which a majority last confirmed it, and no further.
  void EndTerm(std::optional<time_point> aConfirmedAt);

  /// Latest moment, not after aConfirmedAt, at which the primary's log ended
  /// at or before aPosition.  Empty when no observation proves one.
  std::optional<time_point> FreshAt(log_position aPosition,
                                    time_point aConfirmedAt) const;

  /// Moment at which the primary's log was first seen to reach aPosition.
  /// Empty when that was never seen.
  std::optional<time_point> ReachedAt(log_position aPosition) const;

private:
  static constexpr std::size_t kMaxSamples = 256;

  /// The latest observation; most questions end with it.
  head_sample mLatestSample;
  nanoseconds mMinSpacing = milliseconds(25);
  std::size_t mCount = 0;
  std::size_t mNextIndex = 0;
  // Apart from the row, so that the rows of many groups lie close together.
  std::vector<head_sample> mSamples = std::vector<head_sample>(kMaxSamples);
};

/// One database group.
struct group_row
{
  /// Most groups have three instances; those lie within the row.
  using instance_list = boost::container::small_vector<instance_row, 3>;

  std::string mName;
  acknowledge_policy mAcknowledge = acknowledge_policy::Confirmed;
  instance_list mInstances;
  head_history mHeadHistory;
  /// Least declared age of the reads that run until mBoundedReadsUntil.
  milliseconds mMinStalenessBound{ 0 };
  time_point mBoundedReadsUntil;
  /// The manifest in force no longer names it; its row number stays taken.
  bool mRetired = false;

  /// Instances that make a majority.
  std::size_t Majority() const { return mInstances.size() / 2 + 1; }
};

/// All groups that this proxy knows, found by name or by row.
class group_table
{
public:
  /// Takes over the declared groups.  A group keeps its row number for good,
  /// and evidence about an instance survives when its name and address are
  /// unchanged.
  void Apply(const std::vector<manifest_group>& aGroups);

  /// Sets the largest age that any read declares.
  void SetMaxStalenessBound(milliseconds aAge);

  /// A read with a declared age has come; see NextProbeDelay.
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

  /// Records an instance's answer to a question sent at aSentAt.  Answers
  /// older than the one on record are ignored.
  void Record(group_row_number aGroup,
              instance_number aInstance,
              instance_report aReport,
              time_point aSentAt);

  /// Records what a data answer told: the term and the log's end.
  void RecordProgress(group_row_number aGroup,
                      instance_number aInstance,
                      term_number aTerm,
                      log_position aLog,
                      time_point aSentAt);

  /// Records that an instance did not answer.
  void RecordFailure(group_row_number aGroup,
                     instance_number aInstance,
                     time_point aNow);

private:
  /// Begins to load a row's cache lines together: a decision reads most of
  /// them, and one after the other each would be waited for.
  static void PrefetchRow(const group_row& aRow)
  {
    const auto* line = reinterpret_cast<const char*>(&aRow);
    for (std::size_t i = 0; i < sizeof(group_row); i += kCacheLineBytes) {
      __builtin_prefetch(line + i);
    }
  }

  static constexpr std::size_t kCacheLineBytes = 64;

  // A deque, so that references stay good while groups are added.
  std::deque<group_row> mGroups;
  name_index mIndex;
};

/// Number of the named instance, if the group has it.
std::optional<instance_number>
FindInstance(const group_row& aGroup, std::string_view aName);

/// Highest term that any instance of the group has reported.
term_number
HighestTerm(const group_row& aGroup);

/// Latest moment at which a majority still held aTerm and none of that
/// majority had adopted a later one.  Empty when no majority reported it.
std::optional<time_point>
TermConfirmedAt(const group_row& aGroup, term_number aTerm);

/// True when a majority reported aTerm and a log that reaches aPosition.
bool
IsConfirmed(const group_row& aGroup, term_number aTerm, log_position aPosition);

/// The instance that leads the highest reported term, if one does.
std::optional<instance_number>
PrimaryOf(const group_row& aGroup);

} // namespace catkinloom
