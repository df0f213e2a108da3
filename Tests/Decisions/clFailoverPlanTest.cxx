#include "clFailoverPlan.h"

#include <doctest/doctest.h>

using namespace catkinloom;

namespace {

/// Primary `a` with replicas `b` and `c`; one replica confirms a commit.
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

  bool IsStopped() const
  {
    return IsEveryCommitStopped(mMembers, "a", mPossibleLeaders, 1);
  }

  std::vector<failover_member> mMembers{ { "a" }, { "b" }, { "c" } };
  std::vector<std::string> mPossibleLeaders;
  inherited_commits mInherited;
};

} // namespace

TEST_CASE_FIXTURE(failover_plan_fixture, "stop_of_one_replica_is_not_enough")
{
  Stop("b", { 1, 5 });
  CHECK_FALSE(IsStopped());
}

TEST_CASE_FIXTURE(failover_plan_fixture, "stop_of_every_replica_is_enough")
{
  Stop("b", { 1, 5 });
  Stop("c", { 1, 5 });
  CHECK(IsStopped());
}

TEST_CASE_FIXTURE(failover_plan_fixture, "stop_of_the_primary_is_enough")
{
  Stop("a", { 1, 5 });
  CHECK(IsStopped());
}

TEST_CASE_FIXTURE(failover_plan_fixture,
                  "stop_of_the_primary_does_not_cover_a_late_order")
{
  // The promotion of `b` was ordered and not answered: it may still take
  // effect, and then `c` would confirm its commits.
  mPossibleLeaders = { "b" };
  Stop("a", { 1, 5 });
  Stop("b", { 1, 5 });
  CHECK_FALSE(IsStopped());
  Stop("c", { 1, 5 });
  CHECK(IsStopped());
}

TEST_CASE_FIXTURE(failover_plan_fixture,
                  "stop_of_a_primary_that_was_ordered_again_does_not_count")
{
  mPossibleLeaders = { "a" };
  Stop("a", { 1, 5 });
  CHECK_FALSE(IsStopped());
}

TEST_CASE_FIXTURE(failover_plan_fixture, "choice_takes_the_longest_log")
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
                  "choice_between_equals_avoids_the_leaving_one")
{
  Stop("b", { 1, 5 });
  Stop("c", { 1, 5 });
  Member("b").mDraining = true;
  CHECK(ChooseNextLeader(mMembers, "a", mInherited) == "c");
}

TEST_CASE_FIXTURE(failover_plan_fixture,
                  "choice_takes_a_leaving_one_with_a_longer_log")
{
  Stop("b", { 1, 6 });
  Stop("c", { 1, 5 });
  Member("b").mDraining = true;
  CHECK(ChooseNextLeader(mMembers, "a", mInherited) == "b");
}

TEST_CASE_FIXTURE(failover_plan_fixture,
                  "choice_without_a_stopped_instance_is_empty")
{
  CHECK_FALSE(ChooseNextLeader(mMembers, "a", mInherited));
}

TEST_CASE_FIXTURE(failover_plan_fixture,
                  "term_without_a_commit_is_known_from_a_member")
{
  Member("b").mPosition = { 3, 7 };
  Member("b").mTerm = 4;
  CHECK(NewestTerm(mMembers) == 4);
}

TEST_CASE_FIXTURE(failover_plan_fixture,
                  "hold_of_an_earlier_attempt_is_no_stop")
{
  // Held for term 4 by the attempt whose promotion began term 4.
  Member("b").mPausedTerm = 4;
  Member("c").mPausedTerm = 4;
  Member("c").mTerm = 4;
  EvaluatePauses(mMembers);
  CHECK_FALSE(Member("b").mStopped);
  CHECK_FALSE(Member("c").mStopped);
}

TEST_CASE_FIXTURE(failover_plan_fixture, "hold_above_every_term_is_a_stop")
{
  Member("b").mPausedTerm = 5;
  Member("c").mPausedTerm = 5;
  Member("c").mTerm = 4;
  EvaluatePauses(mMembers);
  CHECK(IsStopped());
}

TEST_CASE_FIXTURE(failover_plan_fixture,
                  "hold_is_no_stop_once_a_newer_term_is_known")
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
                  "replicas_all_stopped_hold_every_commit_without_the_primary")
{
  Stop("b", { 1, 5 });
  CHECK_FALSE(ReplicasHoldEveryCommit(mMembers, "a", 1, false));
  Stop("c", { 1, 4 });
  CHECK(ReplicasHoldEveryCommit(mMembers, "a", 1, false));
}

TEST_CASE_FIXTURE(failover_plan_fixture,
                  "replicas_do_not_hold_every_commit_after_one_left")
{
  Stop("b", { 1, 5 });
  Stop("c", { 1, 4 });
  CHECK_FALSE(ReplicasHoldEveryCommit(mMembers, "a", 1, true));
}

TEST_CASE_FIXTURE(failover_plan_fixture,
                  "replicas_do_not_hold_every_commit_if_none_is_confirmed")
{
  Stop("b", { 1, 5 });
  Stop("c", { 1, 4 });
  CHECK_FALSE(ReplicasHoldEveryCommit(mMembers, "a", 0, false));
}

TEST_CASE_FIXTURE(failover_plan_fixture,
                  "choice_with_a_log_below_the_inherited_commits_is_empty")
{
  // `a` was promoted with a log up to 1.229 and leads term 2; `b` heard nothing
  // since 1.157, and `a` answers nothing now.
  mInherited.mFloor = { 1, 229 };
  Stop("b", { 1, 157 });
  CHECK_FALSE(ChooseNextLeader(mMembers, "a", mInherited));
}

TEST_CASE_FIXTURE(failover_plan_fixture,
                  "choice_with_a_log_of_a_later_term_has_the_inherited_commits")
{
  mInherited.mFloor = { 1, 229 };
  Stop("b", { 2, 120 });
  CHECK(ChooseNextLeader(mMembers, "a", mInherited) == "b");
}

TEST_CASE_FIXTURE(failover_plan_fixture,
                  "choice_after_an_unknown_loss_is_the_primary_only")
{
  mInherited.mOnlyPrimaryHasAll = true;
  Stop("b", { 1, 157 });
  CHECK_FALSE(ChooseNextLeader(mMembers, "a", mInherited));
  Stop("a", { 1, 158 });
  CHECK(ChooseNextLeader(mMembers, "a", mInherited) == "a");
}

TEST_CASE_FIXTURE(failover_plan_fixture,
                  "choice_after_an_unknown_loss_may_be_level_with_the_primary")
{
  mInherited.mOnlyPrimaryHasAll = true;
  Stop("a", { 1, 157 });
  Stop("b", { 1, 157 });
  CHECK(ChooseNextLeader(mMembers, "a", mInherited) == "b");
}
