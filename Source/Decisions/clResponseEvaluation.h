#pragma once

#include "clRouter.h"

namespace catkinloom {

/// State of the upstream at the time of its response.
struct answer_evidence
{
  /// Term of the instance when it responded.
  term_number mTerm = 0;
  /// End of its log when it responded.
  log_position mLog;
};

/// How to proceed with the response to a write that the primary executed.
enum class write_evaluation
{
  Acknowledge,
  /// Neither confirmed by a majority nor superseded by a later term yet.
  KeepWaiting,
  /// A later term began, so it is not known here whether the write survives.
  Uncertain,
};

/// How to proceed with the response to a read.
enum class read_evaluation
{
  Serve,
  /// A majority must confirm the term before the response may be served.
  QueryTerm,
  /// The response does not satisfy the requirements; another instance may.
  TryAnotherInstance,
  /// The primary changed; route the request again.
  Reroute,
  /// Current data does not reach the session's floor.
  SessionAhead,
};

/// Evaluates the response to a write under the group's acknowledge policy.
write_evaluation
EvaluateWrite(const router& aRouter,
              const group_row& aGroup,
              const answer_evidence& aEvidence,
              time_point aNow);

/// Evaluates whether a majority holds the log up to the position in aEvidence.
write_evaluation
EvaluateMajority(const group_row& aGroup, const answer_evidence& aEvidence);

/// Evaluates the response to a read against its requirements. aArrivedAt is
/// when the caller's request arrived: current data must be proven current at
/// that time or later.
read_evaluation
EvaluateRead(const router& aRouter,
             const group_row& aGroup,
             const read_requirements& aRequirements,
             const route_decision& aDecision,
             const answer_evidence& aEvidence,
             time_point aArrivedAt,
             time_point aNow);

} // namespace catkinloom
