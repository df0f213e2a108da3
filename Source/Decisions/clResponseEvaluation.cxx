#include "clResponseEvaluation.h"

namespace catkinloom {

namespace {

read_evaluation
EvaluateCurrentRead(const group_row& aGroup,
                    const read_requirements& aRequirements,
                    const route_decision& aDecision,
                    const answer_evidence& aEvidence,
                    time_point aArrivedAt)
{
  const term_number term = aDecision.mTerm;
  if (aEvidence.mTerm != term || HighestTerm(aGroup) > term) {
    return read_evaluation::Reroute;
  }
  const auto confirmedAt = TermConfirmedAt(aGroup, term);
  if (!confirmedAt || *confirmedAt < aArrivedAt) {
    return read_evaluation::QueryTerm;
  }
  return aEvidence.mLog < aRequirements.mFloor ? read_evaluation::SessionAhead
                                               : read_evaluation::Serve;
}

} // namespace

write_evaluation
EvaluateMajority(const group_row& aGroup, const answer_evidence& aEvidence)
{
  if (IsConfirmed(aGroup, aEvidence.mTerm, aEvidence.mLog)) {
    return write_evaluation::Acknowledge;
  }
  return HighestTerm(aGroup) > aEvidence.mTerm ? write_evaluation::Uncertain
                                               : write_evaluation::KeepWaiting;
}

write_evaluation
EvaluateWrite(const router& aRouter,
              const group_row& aGroup,
              const answer_evidence& aEvidence,
              time_point aNow)
{
  const bool byTermLease =
    aGroup.mAcknowledge == acknowledge_policy::Primary &&
    aRouter.HoldsTermLease(aGroup, aEvidence.mTerm, aNow);
  return byTermLease ? write_evaluation::Acknowledge
                     : EvaluateMajority(aGroup, aEvidence);
}

read_evaluation
EvaluateRead(const router& aRouter,
             const group_row& aGroup,
             const read_requirements& aRequirements,
             const route_decision& aDecision,
             const answer_evidence& aEvidence,
             time_point aArrivedAt,
             time_point aNow)
{
  if (aDecision.mMustConfirm) {
    return EvaluateCurrentRead(
      aGroup, aRequirements, aDecision, aEvidence, aArrivedAt);
  }
  const auto age = aRouter.AgeOf(aGroup, aEvidence.mLog, aNow);
  const bool freshEnough = age && *age <= *aRequirements.mMaxAge;
  const bool meetsFloor = aEvidence.mLog >= aRequirements.mFloor;
  return freshEnough && meetsFloor ? read_evaluation::Serve
                                   : read_evaluation::TryAnotherInstance;
}

} // namespace catkinloom
