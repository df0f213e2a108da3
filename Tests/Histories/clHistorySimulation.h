#pragma once

#include "Histories/clHistoryGroup.h"
#include "clResponseEvaluation.h"

#include <cstdint>
#include <string>
#include <vector>

namespace catkinloom {

/// Violations of the consistency guarantees in one history.
struct history_counts
{
  /// Reads that lack a write of their session, or current reads that lack any
  /// acknowledged write.
  std::uint64_t mStaleReads = 0;
  /// Acknowledged writes that a leader of the same or a later term lacks.
  std::uint64_t mLostWrites = 0;
  /// Writes acknowledged although a later leader already lacked them.
  std::uint64_t mStaleAcknowledgements = 0;
  /// Reads that lack a write acknowledged more than the maximum age before.
  std::uint64_t mTooOldReads = 0;
  /// Numbers of completed operations, which show that a history is not trivial.
  std::uint64_t mAcknowledged = 0;
  std::uint64_t mServedReads = 0;
  std::uint64_t mReplicaReads = 0;
  std::uint64_t mPromotions = 0;

  std::uint64_t Violations() const
  {
    return mStaleReads + mLostWrites + mStaleAcknowledgements + mTooOldReads;
  }
  void Add(const history_counts& aOther);
};

/// Simulation of several proxies in front of one database group, with failures
/// injected step by step.  Routing, promotion and response evaluation are the
/// product's code; time, network and data are simulated.
class history_simulation
{
public:
  history_simulation(std::size_t aProxies, acknowledge_policy aPolicy);

  /// Executes the action that the number encodes.
  void Step(std::uint32_t aStep);

  /// Checks the acknowledged writes a last time and returns the counts.
  history_counts Finish();

private:
  struct history_write
  {
    std::uint32_t mWrite = 0;
    std::uint32_t mSession = 0;
    answer_evidence mEvidence;
    time_point mAcknowledgedAt;
  };

  struct pending_read
  {
    std::uint32_t mSession = 0;
    read_requirements mRequirements;
    route_decision mDecision;
    answer_evidence mEvidence;
    time_point mArrivedAt;
    /// The instance lacked an acknowledged write: one of the same session, one
    /// older than the maximum age, or any.
    bool mMissesOwnWrite = false;
    bool mMissesOldWrite = false;
    bool mMissesAnyWrite = false;
  };

  struct pending_report
  {
    instance_number mInstance = 0;
    instance_report mReport;
    time_point mSentAt;
  };

  struct history_proxy
  {
    history_proxy(const router_settings& aSettings, std::string aName)
      : mRouter(aSettings, "a")
      , mPromotion({}, std::move(aName))
    {
    }

    group_table mTable;
    router mRouter;
    promotion_system mPromotion;
    std::vector<promotion_command> mCommands;
    std::vector<pending_report> mReports;
    std::vector<history_write> mWrites;
    std::vector<history_write> mUndeliveredAcknowledgements;
    std::vector<pending_read> mReads;
    instance_set mUnreachable = 0;
    /// The proxy does not run; commands that it sent before still arrive.
    bool mFrozen = false;
  };

  void RunRound(std::uint32_t aChoice);
  void ProbeWithDelay(history_proxy& aProxy, instance_number aInstance);
  void DeliverReports(history_proxy& aProxy);
  /// Executes one of the proxy's pending commands; its response may be lost.
  void DeliverCommand(history_proxy& aProxy, std::uint32_t aChoice);
  void Write(history_proxy& aProxy, std::uint32_t aSession);
  void Read(history_proxy& aProxy,
            std::uint32_t aSession,
            bool aBoundedStaleness);
  void EvaluatePending(history_proxy& aProxy);
  void EvaluatePendingWrites(history_proxy& aProxy);
  void EvaluatePendingReads(history_proxy& aProxy);
  void DeliverAcknowledgements(history_proxy& aProxy);
  void CheckLeaderHoldsAll();
  bool CanReach(const history_proxy& aProxy, instance_number aInstance) const;
  std::uint32_t SessionWithFloor(std::uint32_t aSession) const;

  history_group mGroup;
  std::vector<history_proxy> mProxies;
  std::vector<history_write> mAcknowledged;
  std::vector<log_position> mFloors;
  std::uint32_t mNextWrite = 1;
  time_point mNow;
  history_counts mCounts;
};

} // namespace catkinloom
