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
  attempt_result OnAnswer(caller_request& aRequest,
                          const route_decision& aDecision,
                          const std::string& aInstance,
                          upstream_answer& aAnswer);
  attempt_result Acknowledge(caller_request& aRequest,
                             const route_decision& aDecision,
                             const std::string& aInstance,
                             upstream_answer& aAnswer);
  attempt_result OnUncertain(caller_request& aRequest,
                             const std::string& aDetail);
  caller_result Resolve(caller_request& aRequest, const std::string& aDetail);
  std::optional<caller_answer> LookUp(caller_request& aRequest);
  bool IsAcknowledged(const caller_request& aRequest,
                      const answer_evidence& aEvidence);
  void Wait(const caller_request& aRequest);

  proxy_state& mState;
  upstream_directory& mDirectory;
};

} // namespace catkinloom
