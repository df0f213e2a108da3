#include "clLeadership.h"
#include "clGroupTestData.h"

#include <doctest/doctest.h>

using namespace catkinloom;

namespace {

failover_record
Complete(std::uint64_t aRevision, std::string aLeader)
{
  failover_record record;
  record.mRevision = aRevision;
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

/// Instance `a` leads by the directory; evidence lasts 500 ms.
struct leadership_fixture
{
  leadership_fixture() { mLeadership.OnDirectoryReport("a"); }

  group_leadership mLeadership{ leadership_settings{ milliseconds(500),
                                                     milliseconds(300),
                                                     milliseconds(4000) } };
};

member_status
Member(std::string aId, bool aLeads, term_number aTerm, term_number aHeld)
{
  return { std::move(aId), aLeads, aTerm, aHeld, { aTerm, 1 } };
}

} // namespace

TEST_CASE_FIXTURE(leadership_fixture, "leadership_claim_alone_proves_nothing")
{
  CHECK(mLeadership.Leader() == "a");
  CHECK_FALSE(mLeadership.IsProvenAt(At(1000)));
}

TEST_CASE_FIXTURE(leadership_fixture, "leadership_evidence_ages_from_sending")
{
  mLeadership.OnRecord({}, At(1000));
  CHECK(mLeadership.IsProvenAt(At(1499)));
  CHECK_FALSE(mLeadership.IsProvenAt(At(1500)));
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "leadership_contested_record_is_no_evidence")
{
  mLeadership.OnRecord(InProgress(7, "a"), At(1000));
  CHECK_FALSE(mLeadership.IsProvenAt(At(1000)));
  CHECK(mLeadership.Leader() == "a");
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "leadership_news_from_a_watch_is_no_evidence")
{
  mLeadership.OnRecordChange(Complete(7, "b"));
  CHECK(mLeadership.Leader() == "b");
  CHECK_FALSE(mLeadership.IsProvenAt(At(1000)));
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "leadership_new_leader_voids_old_evidence")
{
  mLeadership.OnRecord({}, At(1000));
  mLeadership.OnRecordChange(Complete(7, "b"));
  CHECK_FALSE(mLeadership.IsProvenAt(At(1100)));
}

TEST_CASE_FIXTURE(leadership_fixture, "leadership_older_record_changes_nothing")
{
  mLeadership.OnRecord(Complete(9, "b"), At(1000));
  mLeadership.OnRecord(Complete(7, "a"), At(1200));
  CHECK(mLeadership.Leader() == "b");
  CHECK_FALSE(mLeadership.IsProvenAt(At(1600)));
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "leadership_claim_after_a_record_is_ignored")
{
  mLeadership.OnRecord(Complete(9, "b"), At(1000));
  mLeadership.OnDirectoryReport("a");
  CHECK(mLeadership.Leader() == "b");
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "leadership_commit_of_a_former_leader_is_no_evidence")
{
  mLeadership.OnRecordChange(Complete(9, "b"));
  mLeadership.OnGroupEvidence("a", At(1000));
  CHECK_FALSE(mLeadership.IsProvenAt(At(1000)));
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "permit_renewed_is_evidence_from_its_sending")
{
  mLeadership.OnRecord({}, At(0));
  mLeadership.OnReadUnderLease();
  mLeadership.OnLeaseRenewed(At(1000));
  CHECK(mLeadership.IsProvenAt(At(1499)));
  CHECK_FALSE(mLeadership.IsProvenAt(At(1500)));
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "permit_without_a_reading_under_it_is_no_evidence")
{
  mLeadership.OnLeaseRenewed(At(1000));
  CHECK_FALSE(mLeadership.IsProvenAt(At(1000)));
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "permit_read_while_contested_is_no_evidence")
{
  mLeadership.OnRecord(InProgress(7, "a"), At(0));
  mLeadership.OnReadUnderLease();
  mLeadership.OnLeaseRenewed(At(1000));
  CHECK_FALSE(mLeadership.IsProvenAt(At(1000)));
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "permit_of_a_former_leader_is_no_evidence")
{
  mLeadership.OnRecord({}, At(0));
  mLeadership.OnReadUnderLease();
  mLeadership.OnRecordChange(Complete(7, "b"));
  mLeadership.OnLeaseRenewed(At(1000));
  CHECK_FALSE(mLeadership.IsProvenAt(At(1000)));
}

TEST_CASE_FIXTURE(leadership_fixture, "permit_ended_is_no_evidence")
{
  mLeadership.OnRecord({}, At(0));
  mLeadership.OnReadUnderLease();
  mLeadership.OnLeaseEnded();
  mLeadership.OnLeaseRenewed(At(1000));
  CHECK_FALSE(mLeadership.IsProvenAt(At(1000)));
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "floor_of_a_proven_leader_counts_from_sending")
{
  mLeadership.OnRecord({}, At(1000));
  mLeadership.OnLeaderPosition("a", { 1, 50 }, At(1100));
  CHECK(mLeadership.FloorSince(At(1100)) == log_position{ 1, 50 });
  CHECK_FALSE(mLeadership.FloorSince(At(1101)));
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "floor_of_an_unproven_leader_is_not_taken")
{
  mLeadership.OnLeaderPosition("a", { 1, 50 }, At(1100));
  CHECK_FALSE(mLeadership.FloorSince(At(0)));
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "floor_asks_the_least_that_is_fresh_enough")
{
  mLeadership.OnRecord({}, At(1000));
  mLeadership.OnLeaderPosition("a", { 1, 50 }, At(1000));
  mLeadership.OnLeaderPosition("a", { 1, 60 }, At(1200));
  mLeadership.OnLeaderPosition("a", { 1, 70 }, At(1400));
  CHECK(mLeadership.FloorSince(At(1100)) == log_position{ 1, 60 });
}

TEST_CASE_FIXTURE(leadership_fixture, "floor_below_the_promotion_is_not_taken")
{
  failover_record record = Complete(9, "b");
  record.mFloor = { 1, 100 };
  mLeadership.OnRecord(record, At(1000));
  mLeadership.OnLeaderPosition("b", { 1, 90 }, At(1000));
  CHECK_FALSE(mLeadership.FloorSince(At(1000)));
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "floor_of_stopped_commits_counts_from_the_last_reading")
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
                  "claim_of_a_replaced_leader_does_not_undo_the_groups_word")
{
  // Cut off from the store, the proxy learned from the group that `b` leads;
  // once back, the directory still has the claim of `a`.
  mLeadership.OnGroupLeader("b", At(1000));
  mLeadership.OnDirectoryReport("a");
  CHECK(mLeadership.Leader() == "b");
  CHECK(mLeadership.IsProvenAt(At(1400)));
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "loss_of_a_member_is_unknown_until_the_leaders_end_is_seen")
{
  mLeadership.OnRecord({}, At(1000));
  mLeadership.OnLeaderPosition("a", { 1, 50 }, At(1010));
  mLeadership.OnMemberLost(At(1020));
  CHECK(mLeadership.HasUnknownLoss());
  // Sent before the loss: the lost instance may have confirmed more since.
  mLeadership.OnLeaderPosition("a", { 1, 55 }, At(1015));
  CHECK(mLeadership.HasUnknownLoss());
  mLeadership.OnLeaderPosition("a", { 1, 60 }, At(1030));
  CHECK_FALSE(mLeadership.HasUnknownLoss());
  CHECK(mLeadership.LossFloor() == log_position{ 1, 60 });
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "loss_is_not_settled_by_an_unproven_leader")
{
  mLeadership.OnMemberLost(At(1020));
  mLeadership.OnLeaderPosition("a", { 1, 60 }, At(1030));
  CHECK(mLeadership.HasUnknownLoss());
}

TEST_CASE_FIXTURE(leadership_fixture,
                  "history_is_unknown_until_the_leaders_end_is_seen")
{
  mLeadership.OnWatchStarted(At(900));
  CHECK(mLeadership.HasUnknownHistory());
  mLeadership.OnRecord({}, At(1000));
  mLeadership.OnLeaderPosition("a", { 1, 50 }, At(1010));
  CHECK_FALSE(mLeadership.HasUnknownHistory());
  CHECK(mLeadership.LossFloor() == log_position{});
}

TEST_CASE("group_leader_with_a_receiving_replica_is_found")
{
  const auto leader =
    FindGroupLeader({ Member("a", true, 1, 0), Member("b", false, 1, 0) }, 1);
  CHECK(leader == 0);
}

TEST_CASE("group_leader_whose_replicas_are_held_is_not_found")
{
  CHECK_FALSE(FindGroupLeader({ Member("a", true, 1, 0),
                                Member("b", false, 1, 2),
                                Member("c", false, 1, 2) },
                              1));
}

TEST_CASE("group_leader_of_an_older_term_is_not_found")
{
  CHECK_FALSE(
    FindGroupLeader({ Member("a", true, 1, 0), Member("b", false, 2, 0) }, 1));
}

TEST_CASE("group_leader_of_the_newest_term_is_found")
{
  const auto leader = FindGroupLeader({ Member("a", true, 1, 0),
                                        Member("b", true, 2, 0),
                                        Member("c", false, 2, 0) },
                                      1);
  CHECK(leader == 1);
}

TEST_CASE("group_leader_alone_is_not_found")
{
  CHECK_FALSE(FindGroupLeader({ Member("a", true, 1, 0) }, 1));
}
