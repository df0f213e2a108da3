#include "clAnswerJudge.h"

namespace catkinloom {

namespace {

read_verdict
JudgeCurrent(const group_row& aGroup,
             const read_need& aNeed,
             const route_decision& aDecision,
             const answer_evidence& aEvidence,
             time_point aArrivedAt)
{
  const term_number term = aDecision.mTerm;
  if (aEvidence.mTerm != term || HighestTerm(aGroup) > term) {
    return read_verdict::DecideAnew;
  }
  const auto confirmedAt = TermConfirmedAt(aGroup, term);
  if (!confirmedAt || *confirmedAt < aArrivedAt) {
    return read_verdict::AskTerm;
  }
  return aEvidence.mLog < aNeed.mFloor ? read_verdict::SessionAhead
                                       : read_verdict::Serve;
}

} // namespace

write_verdict
JudgeMajority(const group_row& aGroup, const answer_evidence& aEvidence)
{
  if (IsConfirmed(aGroup, aEvidence.mTerm, aEvidence.mLog)) {
    return write_verdict::Acknowledge;
  }
  return HighestTerm(aGroup) > aEvidence.mTerm ? write_verdict::Uncertain
                                               : write_verdict::KeepWaiting;
}

write_verdict
JudgeWrite(const router& aRouter,
           const group_row& aGroup,
           const answer_evidence& aEvidence,
           time_point aNow)
{
  const bool byPermit = aGroup.mAcknowledge == acknowledge_policy::Primary &&
                        aRouter.HoldsPermit(aGroup, aEvidence.mTerm, aNow);
  return byPermit ? write_verdict::Acknowledge
                  : JudgeMajority(aGroup, aEvidence);
}

read_verdict
JudgeRead(const router& aRouter,
          const group_row& aGroup,
          const read_need& aNeed,
          const route_decision& aDecision,
          const answer_evidence& aEvidence,
          time_point aArrivedAt,
          time_point aNow)
{
  if (aDecision.mMustConfirm) {
    return JudgeCurrent(aGroup, aNeed, aDecision, aEvidence, aArrivedAt);
  }
  const auto age = aRouter.AgeOf(aGroup, aEvidence.mLog, aNow);
  const bool freshEnough = age && *age <= *aNeed.mMaxAge;
  const bool meetsFloor = aEvidence.mLog >= aNeed.mFloor;
  return freshEnough && meetsFloor ? read_verdict::Serve
                                   : read_verdict::TryAnother;
}

} // namespace catkinloom
