#include "clFailoverPlan.h"

#include <doctest/doctest.h>

using namespace catkinloom;

namespace {

/// Primary `a` with replicas `b` and `c`; a commit needs one confirmation.
struct failover_plan_fixture
{
  failover_member& Member(const std::string& aId)
  {
    for (failover_member& member : mMembers) {
      if (member.mId == aId) {
        return member;
      }
    }
    return mMembers.emplace_back(failover_member{ aId });
  }

  void Stop(const std::string& aId, log_position aPosition)
  {
    Member(aId).mStopped = true;
    Member(aId).mPosition = aPosition;
  }

  void Pause(const std::string& aId, log_position aPosition)
  {
    Stop(aId, aPosition);
    Member(aId).mPausedTerm = aPosition.mTerm + 1;
  }

  bool IsStopped() const
  {
    return IsEveryCommitStopped(mMembers, "a", mPossibleLeaders, 1);
  }

  std::vector<failover_member> mMembers{ { "a" }, { "b" }, { "c" } };
  std::vector<std::string> mPossibleLeaders;
  inherited_commits mInherited;
};

} // namespace

TEST_CASE_FIXTURE(failover_plan_fixture,
                  "stop_of_one_replica_does_not_stop_commits")
{
  Stop("b", { 1, 5 });
  CHECK_FALSE(IsStopped());
}

TEST_CASE_FIXTURE(failover_plan_fixture, "stop_of_every_replica_stops_commits")
{
  Stop("b", { 1, 5 });
  Stop("c", { 1, 5 });
  CHECK(IsStopped());
}

TEST_CASE_FIXTURE(failover_plan_fixture, "stop_of_primary_stops_commits")
{
  Stop("a", { 1, 5 });
  CHECK(IsStopped());
}

TEST_CASE_FIXTURE(
  failover_plan_fixture,
  "stop_of_primary_with_pending_promotion_does_not_stop_commits")
{
  // The promotion of `b` was commanded without a response: it may still take
  // effect, and `c` would then confirm its commits.
  mPossibleLeaders = { "b" };
  Stop("a", { 1, 5 });
  Stop("b", { 1, 5 });
  CHECK_FALSE(IsStopped());
  Pause("c", { 1, 5 });
  CHECK_FALSE(IsStopped());
  Pause("a", { 1, 5 });
  CHECK(IsStopped());
}

// Found by the model for issue 34: a former primary that stepped down received
// the commits of the instance that was promoted late, and counted as stopped.
TEST_CASE_FIXTURE(failover_plan_fixture,
                  "stepped_down_primary_confirms_commits_of_possible_leader")
{
  mPossibleLeaders = { "b" };
  Stop("a", { 1, 5 });
  Pause("c", { 1, 5 });
  CHECK_FALSE(IsStopped());
}

// Found by the model for issue 34: the former primary was chosen, although an
// instance promoted late had acknowledged commits with a replica that was lost.
TEST_CASE_FIXTURE(failover_plan_fixture,
                  "choice_after_unknown_loss_awaits_possible_leader")
{
  mInherited.mOnlyPrimaryHasAll = true;
  mPossibleLeaders = { "b" };
  Stop("a", { 1, 5 });
  CHECK_FALSE(ChooseNextLeader(mMembers, "a", mInherited, mPossibleLeaders));
  Stop("b", { 2, 6 });
  CHECK(ChooseNextLeader(mMembers, "a", mInherited, mPossibleLeaders) == "b");
}

TEST_CASE_FIXTURE(failover_plan_fixture,
                  "stop_of_primary_with_own_pending_promotion_is_ignored")
{
  mPossibleLeaders = { "a" };
  Stop("a", { 1, 5 });
  CHECK_FALSE(IsStopped());
}

TEST_CASE_FIXTURE(failover_plan_fixture, "choice_is_longest_log")
{
  Stop("b", { 1, 5 });
  Stop("c", { 1, 7 });
  CHECK(ChooseNextLeader(mMembers, "a", mInherited) == "c");
}

TEST_CASE_FIXTURE(failover_plan_fixture, "choice_compares_terms_first")
{
  Stop("b", { 2, 1 });
  Stop("c", { 1, 700 });
  CHECK(ChooseNextLeader(mMembers, "a", mInherited) == "b");
}

TEST_CASE_FIXTURE(failover_plan_fixture,
                  "choice_among_equal_logs_is_not_draining")
{
  Stop("b", { 1, 5 });
  Stop("c", { 1, 5 });
  Member("b").mDraining = true;
  CHECK(ChooseNextLeader(mMembers, "a", mInherited) == "c");
}

TEST_CASE_FIXTURE(failover_plan_fixture,
                  "choice_is_draining_instance_with_longer_log")
{
  Stop("b", { 1, 6 });
  Stop("c", { 1, 5 });
  Member("b").mDraining = true;
  CHECK(ChooseNextLeader(mMembers, "a", mInherited) == "b");
}

TEST_CASE_FIXTURE(failover_plan_fixture,
                  "choice_without_stopped_instance_is_empty")
{
  CHECK_FALSE(ChooseNextLeader(mMembers, "a", mInherited));
}

TEST_CASE_FIXTURE(failover_plan_fixture,
                  "newest_term_without_commit_is_reported_term")
{
  Member("b").mPosition = { 3, 7 };
  Member("b").mTerm = 4;
  CHECK(NewestTerm(mMembers) == 4);
}

TEST_CASE_FIXTURE(failover_plan_fixture, "pause_of_earlier_attempt_is_no_stop")
{
  // Paused up to term 4 by the attempt whose promotion started term 4.
  Member("b").mPausedTerm = 4;
  Member("c").mPausedTerm = 4;
  Member("c").mTerm = 4;
  EvaluatePauses(mMembers);
  CHECK_FALSE(Member("b").mStopped);
  CHECK_FALSE(Member("c").mStopped);
}

TEST_CASE_FIXTURE(failover_plan_fixture, "pause_above_every_term_is_stop")
{
  Member("b").mPausedTerm = 5;
  Member("c").mPausedTerm = 5;
  Member("c").mTerm = 4;
  EvaluatePauses(mMembers);
  CHECK(IsStopped());
}

TEST_CASE_FIXTURE(failover_plan_fixture,
                  "pause_is_no_stop_once_newer_term_is_known")
{
  Member("b").mPausedTerm = 5;
  Member("c").mPausedTerm = 5;
  EvaluatePauses(mMembers);
  CHECK(IsStopped());
  Member("a").mTerm = 5;
  EvaluatePauses(mMembers);
  CHECK_FALSE(IsStopped());
}

TEST_CASE_FIXTURE(failover_plan_fixture,
                  "replicas_all_stopped_have_every_commit")
{
  Stop("b", { 1, 5 });
  CHECK_FALSE(ReplicasHoldEveryCommit(mMembers, "a", 1, false));
  Stop("c", { 1, 4 });
  CHECK(ReplicasHoldEveryCommit(mMembers, "a", 1, false));
}

TEST_CASE_FIXTURE(failover_plan_fixture,
                  "replicas_after_member_loss_may_lack_commits")
{
  Stop("b", { 1, 5 });
  Stop("c", { 1, 4 });
  CHECK_FALSE(ReplicasHoldEveryCommit(mMembers, "a", 1, true));
}

TEST_CASE_FIXTURE(failover_plan_fixture,
                  "replicas_without_synchronous_replication_may_lack_commits")
{
  Stop("b", { 1, 5 });
  Stop("c", { 1, 4 });
  CHECK_FALSE(ReplicasHoldEveryCommit(mMembers, "a", 0, false));
}

TEST_CASE_FIXTURE(failover_plan_fixture,
                  "choice_below_inherited_floor_is_empty")
{
  // `a` was promoted with a log up to 1.229 and leads term 2; `b` has received
  // nothing since 1.157, and `a` is unresponsive.
  mInherited.mFloor = { 1, 229 };
  Stop("b", { 1, 157 });
  CHECK_FALSE(ChooseNextLeader(mMembers, "a", mInherited));
}

TEST_CASE_FIXTURE(failover_plan_fixture,
                  "choice_with_later_term_reaches_inherited_floor")
{
  mInherited.mFloor = { 1, 229 };
  Stop("b", { 2, 120 });
  CHECK(ChooseNextLeader(mMembers, "a", mInherited) == "b");
}

TEST_CASE_FIXTURE(failover_plan_fixture,
                  "choice_after_unknown_loss_is_primary_only")
{
  mInherited.mOnlyPrimaryHasAll = true;
  Stop("b", { 1, 157 });
  CHECK_FALSE(ChooseNextLeader(mMembers, "a", mInherited));
  Stop("a", { 1, 158 });
  CHECK(ChooseNextLeader(mMembers, "a", mInherited) == "a");
}

// Issue 44: a named leader that never led was taken for the one that has all.
TEST_CASE_FIXTURE(failover_plan_fixture,
                  "choice_after_unknown_loss_ignores_primary_without_log")
{
  mInherited.mOnlyPrimaryHasAll = true;
  mInherited.mFloor = { 1, 157 };
  Stop("b", { 1, 157 });
  Stop("a", { 1, 0 });
  CHECK_FALSE(ChooseNextLeader(mMembers, "a", mInherited));
  Stop("a", { 1, 157 });
  CHECK(ChooseNextLeader(mMembers, "a", mInherited) == "b");
  Member("a").mHasLog = false;
  CHECK_FALSE(ChooseNextLeader(mMembers, "a", mInherited));
}

// Issue 44: entries that no replica confirmed were taken for acknowledged.
TEST_CASE_FIXTURE(failover_plan_fixture,
                  "confirmed_floor_excludes_entries_of_primary_only")
{
  const auto floor = [this](bool aHasLostMember = false) {
    return FindConfirmedFloor(mMembers, "a", mInherited, 1, aHasLostMember);
  };
  Stop("a", { 1, 9 });
  Stop("b", { 1, 5 });
  CHECK_FALSE(floor());
  Member("c").mReportedAfterStop = true;
  Member("c").mPosition = { 1, 7 };
  CHECK(floor() == log_position{ 1, 7 });
  CHECK_FALSE(floor(true));
  mInherited.mFloor = { 1, 8 };
  CHECK(floor() == log_position{ 1, 8 });
  Member("c").mHasLog = false;
  CHECK_FALSE(floor());
  Member("c").mHasLog = true;
  mInherited.mOnlyPrimaryHasAll = true;
  CHECK_FALSE(floor());
}

// Issue 44: a former leader may lead on beside a named one that never led.
TEST_CASE_FIXTURE(failover_plan_fixture,
                  "unseen_leader_commits_until_every_receiver_is_paused")
{
  Stop("a", { 1, 5 });
  Pause("b", { 1, 5 });
  CHECK(FindUnseenLeaders(mMembers, "a") == std::vector<std::string>{ "c" });
  mPossibleLeaders = FindUnseenLeaders(mMembers, "a");
  CHECK_FALSE(IsStopped());
  Pause("a", { 1, 5 });
  CHECK(IsStopped());
}

TEST_CASE_FIXTURE(failover_plan_fixture,
                  "choice_after_unknown_loss_may_equal_primary_log")
{
  mInherited.mOnlyPrimaryHasAll = true;
  Stop("a", { 1, 157 });
  Stop("b", { 1, 157 });
  CHECK(ChooseNextLeader(mMembers, "a", mInherited) == "b");
}

TEST_CASE_FIXTURE(failover_plan_fixture,
                  "chosen_instance_overloaded_by_reads_is_asked_again")
{
  Stop("b", { 1, 229 });
  Member("b").mPausedTerm = 2;
  CHECK(EvaluateEligibility(Member("b"), {}) == eligibility::Unknown);
  CHECK(EvaluateEligibility(Member("b"), { true, true, 0, {} }) ==
        eligibility::Confirmed);
}

TEST_CASE_FIXTURE(failover_plan_fixture,
                  "chosen_instance_without_pause_or_log_is_replaced")
{
  Stop("b", { 1, 229 });
  Member("b").mPausedTerm = 2;
  CHECK(EvaluateEligibility(Member("b"), { true, false, 2, { 1, 229 } }) ==
        eligibility::Confirmed);
  CHECK(EvaluateEligibility(Member("b"), { true, false, 0, { 1, 229 } }) ==
        eligibility::Changed);
  CHECK(EvaluateEligibility(Member("b"), { true, false, 2, { 1, 228 } }) ==
        eligibility::Changed);
}
