#pragma once

#include "clClock.h"
#include "clLogPosition.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace catkinloom {

/// How far the replacement of a group's primary has come.
enum class failover_phase
{
  /// mLeader leads, or will as soon as its promotion takes effect.
  Complete,
  /// A replacement may be under way: no new evidence of leadership may be
  /// taken from the record.
  InProgress,
};

/// The store's record of who leads a group.  Every promotion goes through it.
struct failover_record
{
  /// The store's revision of this record; 0 when none was ever written.
  std::uint64_t mRevision = 0;
  failover_phase mPhase = failover_phase::Complete;
  /// Instance that leads; empty when the record never named one.
  std::string mLeader;
  /// Contested: no commit can be acknowledged any more, and mFloor holds all.
  bool mCommitsStopped = false;
  /// End of the leader's log when it was chosen.
  log_position mFloor;
  /// Proxy that wrote the record.
  std::string mHolder;
  /// Instances whose promotion was ordered and may still take effect.
  std::vector<std::string> mPossibleLeaders;

  bool operator==(const failover_record&) const = default;
};

/// What one instance says of itself, as far as it tells who leads.
struct member_status
{
  std::string mId;
  bool mLeads = false;
  term_number mTerm = 0;
  /// Term up to which it was told to stop receiving.
  term_number mPausedTerm = 0;
  log_position mReceived;
};

/// The instance that leads by the answers of its group, as an index.  It is
/// certain for the moment at which the questions were sent: nobody can be
/// promoted before either the leader has stopped or fewer than aSyncReplicas
/// others are left that receive.
std::optional<std::size_t>
FindGroupLeader(const std::vector<member_status>& aMembers,
                std::uint32_t aSyncReplicas);

/// Timing of evidence; the same on every proxy.
struct leadership_settings
{
  /// Time for which evidence of leadership is good, from when the question
  /// was sent.  A promoter waits longer than this after it has made new
  /// evidence impossible.
  milliseconds mEvidenceLifetime{ 500 };
  /// Share of the lifetime after which new evidence is asked for.
  milliseconds mRenewAfter{ 300 };
  /// Observations older than this are dropped; no route declares a larger age
  /// that needs them.
  milliseconds mObservationLifetime{ 4000 };
};

/// What one proxy knows about who leads one group, and since when.
///
/// Evidence says that at the moment the question was sent nobody else had been
/// promoted.  It comes from the store (the record was Settled) or from the
/// group itself (a commit was acknowledged, or a majority was not stopped).
class group_leadership
{
public:
  explicit group_leadership(leadership_settings aSettings = {})
    : mSettings(aSettings)
  {
  }

  /// Takes the store's record, read by a question sent at aSentAt.  Without
  /// a record the directory's claim names the leader.
  void OnRecord(const failover_record& aRecord, time_point aSentAt);

  /// Takes a change of the record from a watch: it changes the belief but is
  /// no evidence, since a watch may have been silent.
  void OnRecordChange(const failover_record& aRecord);

  /// Takes the directory's claim that an instance leads.  Only a group whose
  /// leader nothing better names goes by it: a replaced leader that was out of
  /// reach still claims to lead.
  void OnDirectoryReport(const std::string& aInstance);

  /// The instance was found to lead by asking its group at aSentAt.
  void OnGroupLeader(const std::string& aLeader, time_point aSentAt);

  /// The records were just read under this proxy's permit: from now on its
  /// renewal is evidence, unless a replacement is under way.
  void OnReadUnderLease();

  /// The permit was renewed by a call sent at aSentAt.
  void OnLeaseRenewed(time_point aSentAt);

  /// The permit was ended: somebody may be promoted.
  void OnLeaseEnded() { mLeasedLeader.clear(); }

  /// A renewal of the permit would be evidence.
  bool HasLease() const { return !mLeader.empty() && mLeasedLeader == mLeader; }

  /// The leader acknowledged a commit that was sent at aSentAt.
  void OnGroupEvidence(const std::string& aLeader, time_point aSentAt);

  /// The leader answered with this log end a question sent at aSentAt.
  void OnLeaderPosition(const std::string& aLeader,
                        log_position aPosition,
                        time_point aSentAt);

  /// From aMoment on no commit can be acknowledged until a promotion takes
  /// effect, and every one that was lies before the position.
  void OnCommitsStopped(log_position aPosition, time_point aMoment);

  /// Instance believed to lead; empty when unknown.
  const std::string& Leader() const { return mLeader; }
  const failover_record& Record() const { return mRecord; }

  /// The leader was the only one at aMoment.
  bool IsProvenAt(time_point aMoment) const;

  /// New evidence should be asked for.
  bool NeedsEvidence(time_point aNow) const;

  /// Position that holds every commit acknowledged before aMoment.  A log
  /// that reaches it is fresh as of aMoment.  Empty when nothing proves one.
  std::optional<log_position> FloorSince(time_point aMoment) const;

  /// An instance other than the leader left, or began anew without its log, at
  /// aMoment.  It may have held the only copy of a commit beside the leader's.
  void OnMemberLost(time_point aMoment);

  /// The group is followed from aMoment on; members lost before are not known.
  void OnWatchStarted(time_point aMoment);

  /// Position that holds every commit whose copy a lost instance may have been.
  log_position LossFloor() const { return mLossFloor; }

  /// An instance was lost and the leader's log end was not seen since: no
  /// position is known that holds every acknowledged commit.
  bool HasUnknownLoss() const { return mLostAt.has_value(); }

  /// The leader's log end was not seen since the group is followed, so that an
  /// instance lost before may have held a commit that no other replica has.
  bool HasUnknownHistory() const { return mWatchedFrom.has_value(); }

private:
  struct observation
  {
    time_point mSentAt;
    log_position mPosition;
  };

  void Adopt(const failover_record& aRecord);
  void ExtendEvidence(time_point aSentAt);
  void AddObservation(log_position aPosition, time_point aSentAt);
  void ResolveLosses(log_position aPosition, time_point aSentAt);

  leadership_settings mSettings;
  failover_record mRecord;
  std::string mLeader;
  /// The group itself named the leader, not only the directory.
  bool mFoundByGroup = false;
  time_point mProvenUntil;
  /// Leader that the records named when they were read under the permit.
  std::string mLeasedLeader;
  /// When the store was last asked for the record that is known.
  time_point mRecordRequestedAt;
  std::deque<observation> mObservations;
  log_position mLossFloor;
  std::optional<time_point> mLostAt;
  std::optional<time_point> mWatchedFrom;
};

} // namespace catkinloom
