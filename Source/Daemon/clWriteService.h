#pragma once

#include "clCallerRequest.h"
#include "clUpstreamDirectory.h"
#include "clUpstreamExchange.h"

#include <optional>

namespace catkinloom {

/// Serves writes. Sends each write to the primary, acknowledges it according to
/// the group's policy, and determines the outcome if it is uncertain.
class write_service
{
public:
  write_service(proxy_state& aState, upstream_directory& aDirectory)
    : mState(aState)
    , mDirectory(aDirectory)
  {
  }

  caller_result Serve(caller_request& aRequest);

private:
  /// Result of one attempt; empty if the write can safely be sent again.
  using attempt_result = std::optional<caller_result>;

  attempt_result RunAttempt(caller_request& aRequest);
  attempt_result HandleAnswer(caller_request& aRequest,
                              const route_decision& aDecision,
                              upstream_link& aLink,
                              upstream_answer& aAnswer);
  /// Waits until the group's policy permits acknowledging a write that the
  /// primary executed, and returns its response. If that does not happen in the
  /// term of the routing decision, handles the write as uncertain.
  attempt_result Acknowledge(caller_request& aRequest,
                             const route_decision& aDecision,
                             upstream_link& aLink,
                             upstream_answer& aAnswer);
  /// A request that was sent but whose execution is not confirmed.
  struct uncertain_request
  {
    /// Cause, for the error message.
    std::string mDetail;
    /// Term of a successful response, otherwise of the routing decision.
    term_number mTerm = 0;
    std::string mConnectionName;
    /// Reports whether the instance has closed mConnectionName.
    std::shared_ptr<upstream_control> mControl;
  };

  /// Result of looking up a request in the group's log.
  enum class lookup_outcome
  {
    Found,
    /// The request is not in the log and can no longer be added to it.
    NeverRan,
    Undetermined,
  };

  /// Returns empty if the request is repeatable and the deadline and the retry
  /// budget permit sending it again; otherwise resolves its outcome.
  attempt_result HandleUncertain(caller_request& aRequest,
                                 const uncertain_request& aUncertain);
  /// Looks up the outcome until it is determined or the deadline passes.
  /// Without an idempotency key, the outcome is Unknown.
  caller_result Resolve(caller_request& aRequest,
                        const uncertain_request& aUncertain);
  lookup_outcome LookUpOutcome(caller_request& aRequest,
                               const uncertain_request& aUncertain,
                               caller_answer& aAnswer);
  /// Waits until the group's policy permits acknowledging the write. Returns
  /// false if that is not the case before the deadline.
  bool AwaitAcknowledgement(const caller_request& aRequest,
                            const answer_evidence& aEvidence);
  /// Waits until a majority of the group holds the log up to the position of
  /// the evidence, regardless of the group's policy. Returns false if this is
  /// not confirmed before the deadline.
  bool AwaitMajorityConfirmation(const caller_request& aRequest,
                                 const answer_evidence& aEvidence);
  /// Waits for a change of the group's state, at most kMaxDecisionWait and
  /// until the deadline.
  void Wait(const caller_request& aRequest);

  proxy_state& mState;
  upstream_directory& mDirectory;
};

} // namespace catkinloom
