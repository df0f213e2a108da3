#pragma once

#include "clProxyState.h"
#include "clResponseEvaluation.h"
#include "clUpstreamControl.h"
#include "clUpstreamPool.h"

#include <functional>
#include <memory>
#include <vector>

namespace catkinloom {

/// The adapters of one instance.
struct upstream_link
{
  manifest_instance mInstance;
  std::shared_ptr<upstream_control> mControl;
  std::shared_ptr<upstream_pool> mPool;
};

/// Links to every instance of every group that this proxy serves.
class upstream_directory
{
public:
  explicit upstream_directory(proxy_state& aState)
    : mState(aState)
  {
  }

  /// Opens links to new instances, keeps the others, stops those that left.
  void Apply();

  /// The link of an instance; empty when there is none.  It stays good while
  /// it is held, although a manifest may drop the instance meanwhile.
  std::shared_ptr<upstream_link> Find(group_row_number aGroup,
                                      instance_number aInstance) const;

  /// Sends an order of the promotion system to its instance.
  void SendCommand(const promotion_command& aCommand);

  /// Waits until EvaluateWrite has a verdict; Uncertain when the deadline came
  /// first.
  write_evaluation AwaitWrite(group_row_number aGroup,
                              const answer_evidence& aEvidence,
                              time_point aDeadline);

  /// The same for a majority, whatever the group's policy.
  write_evaluation AwaitMajority(group_row_number aGroup,
                                 const answer_evidence& aEvidence,
                                 time_point aDeadline);

  /// Waits for news of a majority's term since aSince, or the deadline.
  void QueryTerm(group_row_number aGroup,
                 time_point aSince,
                 time_point aDeadline);

  /// Asks every instance of a group for its state now.
  void RequestFreshReports(group_row_number aGroup, time_point aSince);

  void Stop();

private:
  using write_evaluator = std::function<write_evaluation(const group_row&)>;

  write_evaluation AwaitEvaluation(group_row_number aGroup,
                                   const answer_evidence& aEvidence,
                                   time_point aDeadline,
                                   const write_evaluator& aEvaluate);

  using link_list = std::vector<std::shared_ptr<upstream_link>>;

  std::shared_ptr<upstream_link> OpenLink(group_row_number aGroup,
                                          const manifest_instance& aInstance);
  void OnCommandAnswer(const promotion_command& aCommand,
                       const promotion_answer& aAnswer);

  proxy_state& mState;
  std::vector<link_list> mLinks;
};

} // namespace catkinloom
