#pragma once

#include "clGroupTable.h"

#include <string>
#include <vector>

namespace catkinloom {

/// Kind of a promotion command.
enum class promotion_verb
{
  /// Adopt the term for this owner, stop leading and stop replicating.
  Fence,
  /// Become the leader of the term that was fenced for this owner.
  Promote,
  /// Replicate from the named leader in the term.
  Follow,
};

/// One command to one instance.
struct promotion_command
{
  promotion_verb mVerb;
  group_row_number mGroup;
  instance_number mInstance;
  term_number mTerm;
  /// Attempt that owns the term; empty for Follow.
  std::string mOwner;
  /// Instance to replicate from; only for Follow.
  instance_number mLeader = 0;
};

/// Response to a promotion_command.
struct promotion_answer
{
  /// True if the instance executed the command, now or in an earlier attempt of
  /// the same command.
  bool mGranted = false;
  instance_report mReport;
  time_point mSentAt;
};

/// Timing of failure detection and promotion.
struct promotion_settings
{
  /// Time without contact to the primary after which a replica counts as having
  /// lost it.
  milliseconds mPrimaryContactTimeout{ 300 };
  /// Maximum age of a report that is used to detect a lost primary.
  milliseconds mReportLifetime{ 1000 };
  /// Additional delay per rank, so that one proxy promotes and the others wait.
  milliseconds mRankDelay{ 200 };
  /// Time after which an attempt is abandoned.
  milliseconds mAttemptTimeout{ 800 };
  /// Maximum time for which a proxy trusts a confirmed term; see
  /// router_settings.
  milliseconds mTermLease{ 250 };
  /// Minimum interval between two Follow commands to the same instance for the
  /// proxy of rank 0; multiplied by the rank plus one for the others.
  milliseconds mRepairInterval{ 300 };
};

/// Replaces lost primaries and makes the other instances replicate from the
/// current one.
///
/// A new term is owned by one attempt: an instance grants a term to the first
/// owner that requests it and to no other. A majority of grants therefore
/// excludes every other attempt of that term, and it contains an instance that
/// holds each confirmed write. No step needs the platform.
class promotion_system
{
public:
  /// aIdentity identifies this start of the process, so that no two starts own
  /// the same term.
  promotion_system(promotion_settings aSettings, std::string aIdentity)
    : mSettings(aSettings)
    , mIdentity(std::move(aIdentity))
  {
  }

  /// Evaluates one group and appends the commands to send. aRank is the number
  /// of live proxies that rank before this one for the group.
  void Tick(const group_table& aTable,
            group_row_number aGroup,
            std::size_t aRank,
            time_point aNow,
            std::vector<promotion_command>& aCommands);

  /// Processes an instance's response to a Fence or Promote of this process.
  void OnAnswer(group_table& aTable,
                const promotion_command& aCommand,
                const promotion_answer& aAnswer,
                time_point aNow,
                std::vector<promotion_command>& aCommands);

  /// True while this proxy is replacing the group's primary.
  bool IsPromoting(group_row_number aGroup) const;

  /// Discards all attempts; row numbers may have changed.
  void Reset() { mRows.clear(); }

private:
  enum class promotion_phase
  {
    Monitoring,
    Fencing,
    Promoting,
  };

  struct promotion_row
  {
    promotion_phase mPhase = promotion_phase::Monitoring;
    term_number mTerm = 0;
    std::string mOwner;
    time_point mStartedAt;
    /// Time at which a majority had granted the fence.
    std::optional<time_point> mFencedAt;
    std::optional<time_point> mPrimaryLostSince;
    /// Highest term when the loss was first detected.
    term_number mTermAtLoss = 0;
    std::vector<std::optional<log_position>> mGrants;
    /// Instances that should not lead: the lost primary, which its replicas
    /// cannot reach even if this proxy can, and instances that are leaving.
    instance_set mAvoided = 0;
    std::vector<time_point> mRepairedAt;
    instance_number mCandidate = 0;
  };

  promotion_row& RowOf(const group_table& aTable, group_row_number aGroup);
  bool IsPrimaryLost(const group_row& aGroup, time_point aNow) const;
  void MonitorPrimary(const group_table& aTable,
                      group_row_number aGroup,
                      promotion_row& aRow,
                      std::size_t aRank,
                      time_point aNow,
                      std::vector<promotion_command>& aCommands);
  void RepairReplication(const group_row& aGroup,
                         group_row_number aGroupNumber,
                         promotion_row& aRow,
                         std::size_t aRank,
                         time_point aNow,
                         std::vector<promotion_command>& aCommands) const;
  void StartFence(const group_row& aGroup,
                  group_row_number aGroupNumber,
                  promotion_row& aRow,
                  time_point aNow,
                  std::vector<promotion_command>& aCommands);
  void PromoteWhenFenced(const group_row& aGroup,
                         group_row_number aGroupNumber,
                         promotion_row& aRow,
                         time_point aNow,
                         std::vector<promotion_command>& aCommands) const;

  promotion_settings mSettings;
  std::string mIdentity;
  std::uint64_t mAttemptCount = 0;
  std::vector<promotion_row> mRows;
};

std::string_view
VerbName(promotion_verb aVerb);

} // namespace catkinloom
