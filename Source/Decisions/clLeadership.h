#pragma once

#include "clClock.h"
#include "clLogPosition.h"
#include "clRecordVersion.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace catkinloom {

/// State of the replacement of a group's primary.
enum class failover_phase
{
  /// mLeader is the primary, or becomes it once its promotion takes effect.
  Complete,
  /// A replacement may be in progress: the record is no evidence of leadership.
  InProgress,
};

/// Identifies a promotion command and its repetitions.
struct command_id
{
  /// Fencing token; 0 if there was no command.
  std::uint64_t mToken = 0;
  /// Proxy that issued it.
  std::string mIssuer;

  bool operator==(const command_id&) const = default;
};

/// The coordination store's record of a group's leader.  Every promotion is
/// written to it before it is commanded.
struct failover_record
{
  /// The store's version of this record; revision 0 when there is none.
  record_version mVersion{};
  /// Generation of the store in which the contents were written.
  std::uint64_t mWrittenIn = 0;
  /// Contents of an earlier generation that the writer knew; newer ones may
  /// have been lost in a restore of the store.
  record_version mSupersedes{};
  failover_phase mPhase = failover_phase::Complete;
  /// Leader of the group; empty when the record has never named one.
  std::string mLeader;
  /// InProgress: no further commit can be acknowledged, and a log that reaches
  /// mFloor contains every acknowledged one.
  bool mCommitsStopped = false;
  /// End of the leader's log when it was selected.
  log_position mFloor;
  /// Lowest position that contains every acknowledged commit, according to the
  /// other instances; at most mFloor.  Entries beyond it were never
  /// acknowledged, so that they may be lost with the leader's log.
  log_position mConfirmedFloor;
  /// Proxy that wrote the record.
  std::string mHolder;
  /// Instances whose promotion was commanded and may have taken effect, or may
  /// still do so; that of the newest command is the last one.
  std::vector<std::string> mPossibleLeaders;
  /// The newest promotion command.
  command_id mCommand;

  bool operator==(const failover_record&) const = default;

  /// False if a restore of the store may have undone a newer record, so that
  /// this one is no evidence.
  bool IsCurrent() const
  {
    return mVersion.mGeneration <= kFirstGeneration ||
           mWrittenIn == mVersion.mGeneration;
  }
};

/// Fencing token of the next promotion command, for the record that replaces
/// aRecord.  It is above every token that aRecord and its predecessors named,
/// and no other record names it: of the writes that replace aRecord, the store
/// accepts one.
std::uint64_t
NextFencingToken(const failover_record& aRecord);

/// Leadership and replication state that one instance reports.
struct member_status
{
  std::string mId;
  bool mLeads = false;
  term_number mTerm = 0;
  /// Term up to which its replication is paused.
  term_number mPausedTerm = 0;
  log_position mReceived;
};

/// Index of the group's leader according to the reports of its members; empty
/// when they do not prove one.  The result holds for the moment at which the
/// status requests were sent: an instance is promoted only after the leader has
/// stopped or fewer than aSyncReplicas others still receive its log.
std::optional<std::size_t>
FindGroupLeader(const std::vector<member_status>& aMembers,
                std::uint32_t aSyncReplicas);

/// Validity of leadership evidence.  Every proxy must use the same values.
struct leadership_settings
{
  /// Validity of evidence, from when its request was sent.  A promoting proxy
  /// waits longer than this once no new evidence can arise.
  milliseconds mEvidenceLifetime{ 500 };
  /// Age of the evidence at which new evidence is requested.
  milliseconds mRenewAfter{ 300 };
  /// Observations older than this are discarded; no route declares a larger
  /// age that would need them.
  milliseconds mObservationLifetime{ 4000 };
};

/// One proxy's view of a group's leader, and until when it is proven.
///
/// Evidence proves that no other instance had been promoted when its request
/// was sent.  It comes from the store (the record was Complete) or from the
/// group (a commit was acknowledged, or enough members still received the
/// leader's log).
class group_leadership
{
public:
  explicit group_leadership(leadership_settings aSettings = {})
    : mSettings(aSettings)
  {
  }

  /// Adopts the store's record, read by a request sent at aSentAt.  As long as
  /// the record names no leader, the directory's report does.
  void OnRecord(const failover_record& aRecord, time_point aSentAt);

  /// Adopts a change of the record that a watch delivered.  It updates the
  /// view but is no evidence, since a watch may have missed later changes.
  void OnRecordChange(const failover_record& aRecord);

  /// Adopts the directory's report that an instance is the primary, unless the
  /// record or the group has named a leader: a replaced leader that was
  /// unreachable still reports itself as primary.
  void OnDirectoryReport(const std::string& aInstance);

  /// The group's members, queried at aSentAt, proved aLeader to be the leader.
  void OnGroupLeader(const std::string& aLeader, time_point aSentAt);

  /// The record was read while this proxy held its leadership lease: from now
  /// on a renewal of the lease is evidence, unless a replacement is in
  /// progress.
  void OnReadUnderLease();

  /// The leadership lease was renewed by a request sent at aSentAt.
  void OnLeaseRenewed(time_point aSentAt);

  /// The leadership lease ended: another instance may be promoted.
  void OnLeaseEnded() { mLeasedLeader.clear(); }

  /// True when the lease covers the current leader, so that a renewal is
  /// evidence.
  bool HasLease() const { return !mLeader.empty() && mLeasedLeader == mLeader; }

  /// aLeader acknowledged a commit that was sent at aSentAt.
  void OnGroupEvidence(const std::string& aLeader, time_point aSentAt);

  /// aLeader reported this log end in response to a request sent at aSentAt.
  /// Ignored unless aLeader is proven to lead at aSentAt and its log reaches
  /// the record's mFloor.
  void OnLeaderPosition(const std::string& aLeader,
                        log_position aPosition,
                        time_point aSentAt);

  /// From aMoment on no commit can be acknowledged until a promotion takes
  /// effect; a log that reaches aPosition contains every acknowledged one.
  void OnCommitsStopped(log_position aPosition, time_point aMoment);

  /// Leader according to the current view; empty when unknown.
  const std::string& Leader() const { return mLeader; }
  /// The newest known contents of the record, with the version that the store
  /// has now.
  const failover_record& Record() const { return mRecord; }

  /// The record with these contents as this proxy would write it now.
  failover_record NextRecord() const;

  /// True if this proxy knows contents of the record.
  bool KnowsRecord() const { return mContents != record_version{}; }

  /// True when the leader is proven to be the only one at aMoment.
  bool IsProvenAt(time_point aMoment) const;

  /// A statement waited for evidence as long as it may, in vain.
  void OnEvidenceTimeout() { mHasEvidenceTimedOut = true; }

  /// True when the last wait for evidence was in vain and none has arrived
  /// since: the next wait would most likely be in vain, too.
  bool HasEvidenceTimedOut() const { return mHasEvidenceTimedOut; }

  /// True when new evidence should be requested.
  bool NeedsEvidence(time_point aNow) const;

  /// Lowest known log position that covers every commit acknowledged before
  /// aMoment.  A log that reaches it is fresh as of aMoment.  Empty when no
  /// observation is recent enough.
  std::optional<log_position> FloorSince(time_point aMoment) const;

  /// Newest known log end of the leader; zero if none is known.
  log_position NewestPosition() const
  {
    return mObservations.empty() ? log_position{}
                                 : mObservations.back().mPosition;
  }

  /// An instance other than the leader left, or restarted without its log.  It
  /// confirmed no commit after aMoment, which may be in the past, and may have
  /// had the only copy of an earlier one besides the leader's.
  void OnMemberLost(time_point aMoment);

  /// aFloor covers every commit that the lost instances may have had the only
  /// replica copy of.
  void OnLossesCovered(log_position aFloor);

  /// Monitoring of the group started at aMoment; losses of members before it
  /// are unknown.
  void OnMonitoringStarted(time_point aMoment);

  /// Lowest log position that covers every commit that a lost instance may have
  /// had the only replica copy of.
  log_position LossFloor() const { return mLossFloor; }

  /// An instance was lost and the leader has not reported its log end since: no
  /// position is known that covers every acknowledged commit.
  bool HasUnknownLoss() const { return mLostAt.has_value(); }

  /// The leader has not reported its log end since monitoring started, so that
  /// an instance lost before then may have had a commit that no other replica
  /// has.
  bool HasUnknownHistory() const { return mMonitoringStartedAt.has_value(); }

private:
  struct observation
  {
    time_point mSentAt;
    log_position mPosition;
  };

  void Adopt(const failover_record& aRecord);
  /// True if the known contents are newer than those of aRecord, which a
  /// restore of the store brought back or which were written without knowing
  /// them.
  bool KnowsNewerContents(const failover_record& aRecord) const;
  void ExtendEvidence(time_point aSentAt);
  void AddObservation(log_position aPosition, time_point aSentAt);
  void ResolveLosses(log_position aPosition, time_point aSentAt);

  leadership_settings mSettings;
  failover_record mRecord;
  /// Version under which the contents of mRecord were written.
  record_version mContents{};
  std::string mLeader;
  /// The leader was proven by the group's members, not only reported by the
  /// directory.
  bool mFoundByGroup = false;
  time_point mProvenUntil;
  bool mHasEvidenceTimedOut = false;
  /// Leader when the record was read under the lease; empty without a lease.
  std::string mLeasedLeader;
  /// When the latest request that confirmed the known record was sent.
  time_point mRecordRequestedAt;
  std::deque<observation> mObservations;
  log_position mLossFloor;
  /// Time of the latest loss of a member; empty once the leader has reported
  /// its log end after the loss.
  std::optional<time_point> mLostAt;
  /// Empty once the leader has reported its log end after that time.
  std::optional<time_point> mMonitoringStartedAt;
};

} // namespace catkinloom
