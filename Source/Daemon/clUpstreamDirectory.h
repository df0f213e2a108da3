#pragma once

#include "clProxyState.h"
#include "clResponseEvaluation.h"
#include "clUpstreamControl.h"
#include "clUpstreamPool.h"

#include <functional>
#include <memory>
#include <vector>

namespace catkinloom {

/// Control connection and connection pool of one instance.
struct upstream_link
{
  manifest_instance mInstance;
  std::shared_ptr<upstream_control> mControl;
  std::shared_ptr<upstream_pool> mPool;
};

/// Links to all instances of all groups that this proxy serves.
class upstream_directory
{
public:
  explicit upstream_directory(proxy_state& aState)
    : mState(aState)
  {
  }

  /// Applies the current manifest: opens links to new instances, keeps existing
  /// ones and stops those of removed instances.
  void Apply();

  /// Returns the link to an instance, or null if there is none. The link stays
  /// valid while the pointer is held, even if a new manifest removes the
  /// instance in the meantime.
  std::shared_ptr<upstream_link> Find(group_row_number aGroup,
                                      instance_number aInstance) const;

  /// Sends a command of the promotion system to its instance.
  void SendCommand(const promotion_command& aCommand);

  /// Waits until EvaluateWrite returns a final result. Returns Uncertain if the
  /// deadline passes first.
  write_evaluation AwaitWrite(group_row_number aGroup,
                              const answer_evidence& aEvidence,
                              time_point aDeadline);

  /// Waits until EvaluateMajority returns a final result, regardless of the
  /// group's acknowledge policy. Returns Uncertain if the deadline passes
  /// first.
  write_evaluation AwaitMajority(group_row_number aGroup,
                                 const answer_evidence& aEvidence,
                                 time_point aDeadline);

  /// Requests reports sent at aSince or later from all instances of the group,
  /// and waits until the group's state changes or the deadline passes.
  void QueryTerm(group_row_number aGroup,
                 time_point aSince,
                 time_point aDeadline);

  /// Requests a report from every instance of the group. Reports to status
  /// requests sent before aSince do not count.
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
