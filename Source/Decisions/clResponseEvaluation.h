#pragma once

#include "clRouter.h"

namespace catkinloom {

/// What an upstream's answer says about the state that it was given under.
struct answer_evidence
{
  /// Term of the instance when it answered.
  term_number mTerm = 0;
  /// End of its log when it answered.
  log_position mLog;
};

/// What may be done with the answer to a write that the primary ran.
enum class write_evaluation
{
  Acknowledge,
  /// Neither certain nor hopeless yet.
  KeepWaiting,
  /// A later term began: whether the write survives is not known here.
  Uncertain,
};

/// What may be done with the answer to a read.
enum class read_evaluation
{
  Serve,
  /// Ask a majority for its term before it may be served.
  QueryTerm,
  /// The answer does not meet the need; another instance may.
  TryAnotherInstance,
  /// The primary moved; decide anew.
  Reroute,
  /// Current data does not reach the session's floor.
  SessionAhead,
};

/// Judges a write's answer under the group's acknowledge policy.
write_evaluation
EvaluateWrite(const router& aRouter,
              const group_row& aGroup,
              const answer_evidence& aEvidence,
              time_point aNow);

/// Judges whether a majority holds the log up to the evidence.
write_evaluation
EvaluateMajority(const group_row& aGroup, const answer_evidence& aEvidence);

/// Judges a read's answer against its need.  aArrivedAt is when the caller's
/// request came: current data must be proven current since then.
read_evaluation
EvaluateRead(const router& aRouter,
             const group_row& aGroup,
             const read_requirements& aRequirements,
             const route_decision& aDecision,
             const answer_evidence& aEvidence,
             time_point aArrivedAt,
             time_point aNow);

} // namespace catkinloom
