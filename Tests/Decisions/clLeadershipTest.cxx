#include "clLeadership.h"
#include "clGroupTestData.h"

#include <doctest/doctest.h>

using namespace catkinloom;

namespace {

failover_record
Complete(std::uint64_t aRevision, std::string aLeader)
{
  failover_record record;
  record.mVersion = { kFirstGeneration, aRevision };
  record.mWrittenIn = kFirstGeneration;
  record.mLeader = std::move(aLeader);
  return record;
}

failover_record
InProgress(std::uint64_t aRevision, std::string aLeader)
{
  failover_record record = Complete(aRevision, std::move(aLeader));
  record.mPhase = failover_phase::InProgress;
  return record;
}

/// The same record as it is read after a restore of the store.
failover_record
Restored(failover_record aRecord)
{
  aRecord.mVersion.mGeneration = kFirstGeneration + 1;
  return aRecord;
}

/// The directory reports `a` as primary; evidence is valid for 500 ms.
struct leadership_fixture
{
  leadership_fixture() { mLeadership.OnDirectoryReport("a"); }

  group_leadership mLeadership{ leadership_settings{ milliseconds(500),
                                                     milliseconds(300),
                                                     milliseconds(4000) } };
};

member_status
Member(std::string aId, bool aLeads, term_number aTerm, term_number aPausedTerm)
{
  return { std::move(aId), aLeads, aTerm, aPausedTerm, { aTerm, 1 } };
}

} // namespace

TEST_CASE_FIXTURE(leadership_fixture,
                  "leadership_directory_report_alone_is_no_evidence")
{
  CHECK(mLeadership.Leader() == "a");
  CHECK_FALSE(mLeadership.IsProvenAt(At(1000)));
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "leadership_evidence_expires_relative_to_request_time")
{
  mLeadership.OnRecord({}, At(1000));
  CHECK(mLeadership.IsProvenAt(At(1499)));
  CHECK_FALSE(mLeadership.IsProvenAt(At(1500)));
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "leadership_record_in_progress_is_no_evidence")
{
  mLeadership.OnRecord(InProgress(7, "a"), At(1000));
  CHECK_FALSE(mLeadership.IsProvenAt(At(1000)));
  CHECK(mLeadership.Leader() == "a");
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "leadership_record_change_from_watch_is_no_evidence")
{
  mLeadership.OnRecordChange(Complete(7, "b"));
  CHECK(mLeadership.Leader() == "b");
  CHECK_FALSE(mLeadership.IsProvenAt(At(1000)));
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "leadership_new_leader_invalidates_evidence")
{
  mLeadership.OnRecord({}, At(1000));
  mLeadership.OnRecordChange(Complete(7, "b"));
  CHECK_FALSE(mLeadership.IsProvenAt(At(1100)));
}

TEST_CASE_FIXTURE(leadership_fixture, "leadership_older_record_is_ignored")
{
  mLeadership.OnRecord(Complete(9, "b"), At(1000));
  mLeadership.OnRecord(Complete(7, "a"), At(1200));
  CHECK(mLeadership.Leader() == "b");
  CHECK_FALSE(mLeadership.IsProvenAt(At(1600)));
}

// Regression tests for issue 28: a store that returns from an older copy.

TEST_CASE_FIXTURE(leadership_fixture,
                  "leadership_record_brought_back_by_restore_is_no_evidence")
{
  mLeadership.OnRecord(Complete(9, "b"), At(1000));
  mLeadership.OnRecord(Restored(Complete(7, "a")), At(2000));
  CHECK(mLeadership.Leader() == "b");
  CHECK_FALSE(mLeadership.IsProvenAt(At(2000)));
  CHECK(mLeadership.Record().mVersion == record_version{ 2, 7 });
  CHECK(mLeadership.Record().mLeader == "b");
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "leadership_record_lost_in_restore_is_no_evidence")
{
  mLeadership.OnRecord(InProgress(9, "a"), At(1000));
  failover_record absent;
  absent.mVersion = { 2, 0 };
  mLeadership.OnRecord(absent, At(2000));
  CHECK_FALSE(mLeadership.IsProvenAt(At(2000)));
  CHECK(mLeadership.Record().mVersion == record_version{ 2, 0 });
  CHECK(mLeadership.Record().mPhase == failover_phase::InProgress);
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "leadership_record_written_again_after_restore_is_evidence")
{
  mLeadership.OnRecord(Complete(9, "b"), At(1000));
  mLeadership.OnRecord(Restored(Complete(7, "a")), At(2000));
  failover_record next = mLeadership.NextRecord();
  CHECK(next.mSupersedes == record_version{ 1, 9 });
  next.mVersion.mRevision = 8;
  mLeadership.OnRecord(next, At(3000));
  CHECK(mLeadership.IsProvenAt(At(3400)));
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "leadership_record_written_with_less_knowledge_is_not_taken")
{
  mLeadership.OnRecord(InProgress(9, "a"), At(1000));
  failover_record other = Restored(Complete(7, "b"));
  other.mWrittenIn = 2;
  other.mSupersedes = { 1, 7 };
  mLeadership.OnRecord(other, At(2000));
  CHECK(mLeadership.Record().mPhase == failover_phase::InProgress);
  CHECK_FALSE(mLeadership.IsProvenAt(At(2000)));
  CHECK(mLeadership.NextRecord().mSupersedes == record_version{ 1, 9 });
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "lease_of_earlier_generation_is_no_evidence")
{
  mLeadership.OnRecord(Complete(9, "a"), At(0));
  mLeadership.OnReadUnderLease();
  mLeadership.OnRecordChange(Restored(Complete(7, "a")));
  CHECK_FALSE(mLeadership.HasLease());
  mLeadership.OnLeaseRenewed(At(1000));
  CHECK_FALSE(mLeadership.IsProvenAt(At(1000)));
}

TEST_CASE("fencing_token_after_restore_is_newer_than_any_before")
{
  CHECK(FencingToken({ 1, 24 }) == 24);
  CHECK(FencingToken({ 2, 1 }) > FencingToken({ 1, 4294967296 }));
  CHECK(FencingToken({ 3, 1 }) > FencingToken({ 2, 4294967296 }));
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "leadership_directory_report_after_record_is_ignored")
{
  mLeadership.OnRecord(Complete(9, "b"), At(1000));
  mLeadership.OnDirectoryReport("a");
  CHECK(mLeadership.Leader() == "b");
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "leadership_commit_of_previous_leader_is_no_evidence")
{
  mLeadership.OnRecordChange(Complete(9, "b"));
  mLeadership.OnGroupEvidence("a", At(1000));
  CHECK_FALSE(mLeadership.IsProvenAt(At(1000)));
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "lease_renewed_is_evidence_from_request_time")
{
  mLeadership.OnRecord({}, At(0));
  mLeadership.OnReadUnderLease();
  mLeadership.OnLeaseRenewed(At(1000));
  CHECK(mLeadership.IsProvenAt(At(1499)));
  CHECK_FALSE(mLeadership.IsProvenAt(At(1500)));
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "lease_without_record_read_under_it_is_no_evidence")
{
  mLeadership.OnLeaseRenewed(At(1000));
  CHECK_FALSE(mLeadership.IsProvenAt(At(1000)));
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "lease_record_read_in_progress_is_no_evidence")
{
  mLeadership.OnRecord(InProgress(7, "a"), At(0));
  mLeadership.OnReadUnderLease();
  mLeadership.OnLeaseRenewed(At(1000));
  CHECK_FALSE(mLeadership.IsProvenAt(At(1000)));
}

TEST_CASE_FIXTURE(leadership_fixture, "lease_of_previous_leader_is_no_evidence")
{
  mLeadership.OnRecord({}, At(0));
  mLeadership.OnReadUnderLease();
  mLeadership.OnRecordChange(Complete(7, "b"));
  mLeadership.OnLeaseRenewed(At(1000));
  CHECK_FALSE(mLeadership.IsProvenAt(At(1000)));
}

TEST_CASE_FIXTURE(leadership_fixture, "lease_ended_is_no_evidence")
{
  mLeadership.OnRecord({}, At(0));
  mLeadership.OnReadUnderLease();
  mLeadership.OnLeaseEnded();
  mLeadership.OnLeaseRenewed(At(1000));
  CHECK_FALSE(mLeadership.IsProvenAt(At(1000)));
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "floor_of_proven_leader_counts_from_request_time")
{
  mLeadership.OnRecord({}, At(1000));
  mLeadership.OnLeaderPosition("a", { 1, 50 }, At(1100));
  CHECK(mLeadership.FloorSince(At(1100)) == log_position{ 1, 50 });
  CHECK_FALSE(mLeadership.FloorSince(At(1101)));
}

TEST_CASE_FIXTURE(leadership_fixture, "floor_of_unproven_leader_is_ignored")
{
  mLeadership.OnLeaderPosition("a", { 1, 50 }, At(1100));
  CHECK_FALSE(mLeadership.FloorSince(At(0)));
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "floor_is_lowest_position_that_is_recent_enough")
{
  mLeadership.OnRecord({}, At(1000));
  mLeadership.OnLeaderPosition("a", { 1, 50 }, At(1000));
  mLeadership.OnLeaderPosition("a", { 1, 60 }, At(1200));
  mLeadership.OnLeaderPosition("a", { 1, 70 }, At(1400));
  CHECK(mLeadership.FloorSince(At(1100)) == log_position{ 1, 60 });
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "floor_below_promotion_position_is_ignored")
{
  failover_record record = Complete(9, "b");
  record.mFloor = { 1, 100 };
  mLeadership.OnRecord(record, At(1000));
  mLeadership.OnLeaderPosition("b", { 1, 90 }, At(1000));
  CHECK_FALSE(mLeadership.FloorSince(At(1000)));
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "floor_of_stopped_commits_counts_from_last_record_read")
{
  mLeadership.OnRecord({}, At(1000));
  failover_record record = InProgress(9, "a");
  record.mCommitsStopped = true;
  record.mFloor = { 1, 100 };
  mLeadership.OnRecordChange(record);
  CHECK(mLeadership.FloorSince(At(1000)) == log_position{ 1, 100 });
  CHECK_FALSE(mLeadership.FloorSince(At(1001)));
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "directory_report_of_replaced_leader_does_not_override_group")
{
  // While disconnected from the store the proxy learned from the group that `b`
  // leads; after reconnecting, the directory still reports `a` as primary.
  mLeadership.OnGroupLeader("b", At(1000));
  mLeadership.OnDirectoryReport("a");
  CHECK(mLeadership.Leader() == "b");
  CHECK(mLeadership.IsProvenAt(At(1400)));
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "loss_of_member_is_unknown_until_leader_reports_log_end")
{
  mLeadership.OnRecord({}, At(1000));
  mLeadership.OnLeaderPosition("a", { 1, 50 }, At(1010));
  mLeadership.OnMemberLost(At(1020));
  CHECK(mLeadership.HasUnknownLoss());
  // Requested before the loss: the lost instance may have confirmed more
  // commits afterwards.
  mLeadership.OnLeaderPosition("a", { 1, 55 }, At(1015));
  CHECK(mLeadership.HasUnknownLoss());
  mLeadership.OnLeaderPosition("a", { 1, 60 }, At(1030));
  CHECK_FALSE(mLeadership.HasUnknownLoss());
  CHECK(mLeadership.LossFloor() == log_position{ 1, 60 });
}

TEST_CASE_FIXTURE(
  leadership_fixture,
  "replica_lost_before_leader_is_covered_by_leaders_last_report")
{
  // The directory reports the loss only after the leader has died, too.
  mLeadership.OnRecord({}, At(1000));
  mLeadership.OnLeaderPosition("a", { 1, 50 }, At(1010));
  mLeadership.OnLeaderPosition("a", { 1, 60 }, At(1100));
  mLeadership.OnMemberLost(At(1020));
  CHECK_FALSE(mLeadership.HasUnknownLoss());
  CHECK(mLeadership.LossFloor() == log_position{ 1, 60 });
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "replica_lost_after_leaders_last_report_is_unknown")
{
  mLeadership.OnRecord({}, At(1000));
  mLeadership.OnLeaderPosition("a", { 1, 60 }, At(1100));
  mLeadership.OnMemberLost(At(1101));
  CHECK(mLeadership.HasUnknownLoss());
}

TEST_CASE_FIXTURE(leadership_fixture, "loss_is_not_resolved_by_unproven_leader")
{
  mLeadership.OnMemberLost(At(1020));
  mLeadership.OnLeaderPosition("a", { 1, 60 }, At(1030));
  CHECK(mLeadership.HasUnknownLoss());
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "loss_covered_by_recorded_floor_is_no_longer_unknown")
{
  mLeadership.OnMemberLost(At(1020));
  mLeadership.OnLossesCovered({ 1, 60 });
  CHECK_FALSE(mLeadership.HasUnknownLoss());
  CHECK(mLeadership.LossFloor() == log_position{ 1, 60 });
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "history_is_unknown_until_leader_reports_log_end")
{
  mLeadership.OnMonitoringStarted(At(900));
  CHECK(mLeadership.HasUnknownHistory());
  mLeadership.OnRecord({}, At(1000));
  mLeadership.OnLeaderPosition("a", { 1, 50 }, At(1010));
  CHECK_FALSE(mLeadership.HasUnknownHistory());
  CHECK(mLeadership.LossFloor() == log_position{});
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "proxy_cut_from_store_and_group_waits_for_evidence_once")
{
  CHECK_FALSE(mLeadership.HasEvidenceTimedOut());
  mLeadership.OnEvidenceTimeout();
  CHECK(mLeadership.HasEvidenceTimedOut());
  mLeadership.OnDirectoryReport("a");
  CHECK(mLeadership.HasEvidenceTimedOut());
  mLeadership.OnGroupLeader("a", At(1000));
  CHECK_FALSE(mLeadership.HasEvidenceTimedOut());
}

TEST_CASE("group_leader_with_receiving_replica_is_found")
{
  const auto leader =
    FindGroupLeader({ Member("a", true, 1, 0), Member("b", false, 1, 0) }, 1);
  CHECK(leader == 0);
}

TEST_CASE("group_leader_with_paused_replicas_is_not_found")
{
  CHECK_FALSE(FindGroupLeader({ Member("a", true, 1, 0),
                                Member("b", false, 1, 2),
                                Member("c", false, 1, 2) },
                              1));
}

TEST_CASE("group_leader_of_older_term_is_not_found")
{
  CHECK_FALSE(
    FindGroupLeader({ Member("a", true, 1, 0), Member("b", false, 2, 0) }, 1));
}

TEST_CASE("group_leader_of_newest_term_is_found")
{
  const auto leader = FindGroupLeader({ Member("a", true, 1, 0),
                                        Member("b", true, 2, 0),
                                        Member("c", false, 2, 0) },
                                      1);
  CHECK(leader == 1);
}

TEST_CASE("group_leader_without_replicas_is_not_found")
{
  CHECK_FALSE(FindGroupLeader({ Member("a", true, 1, 0) }, 1));
}
