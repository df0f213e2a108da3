#pragma once

#include "clCallerRequest.h"
#include "clUpstreamDirectory.h"
#include "clUpstreamExchange.h"

#include <optional>

namespace catkinloom {

/// Serves writes: sends each to the primary, acknowledges it only under the
/// group's policy, and finds out what became of an uncertain one.
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
  /// Result of one try; empty when another try is safe.
  using attempt_result = std::optional<caller_result>;

  attempt_result Try(caller_request& aRequest);
  attempt_result HandleAnswer(caller_request& aRequest,
                              const route_decision& aDecision,
                              upstream_link& aLink,
                              upstream_answer& aAnswer);
  attempt_result Acknowledge(caller_request& aRequest,
                             const route_decision& aDecision,
                             upstream_link& aLink,
                             upstream_answer& aAnswer);
  /// Where an uncertain request went.
  struct uncertain_request
  {
    std::string mDetail;
    term_number mTerm = 0;
    std::string mConnectionName;
    /// Asked whether the connection has ended.
    std::shared_ptr<upstream_control> mControl;
  };

  /// What the group's log says about a request.
  enum class lookup_outcome
  {
    Found,
    /// It is not there, and can never come to be there.
    NeverRan,
    Undetermined,
  };

  attempt_result HandleUncertain(caller_request& aRequest,
                                 const uncertain_request& aUncertain);
  caller_result Resolve(caller_request& aRequest,
                        const uncertain_request& aUncertain);
  lookup_outcome LookUpOutcome(caller_request& aRequest,
                               const uncertain_request& aUncertain,
                               caller_answer& aAnswer);
  bool AwaitAcknowledgement(const caller_request& aRequest,
                            const answer_evidence& aEvidence);
  /// A majority holds the log up to there, whatever the group's policy.
  bool AwaitMajorityConfirmation(const caller_request& aRequest,
                                 const answer_evidence& aEvidence);
  void Wait(const caller_request& aRequest);

  proxy_state& mState;
  upstream_directory& mDirectory;
};

} // namespace catkinloom
