#pragma once

#include "clGroupTable.h"

#include <string>
#include <vector>

namespace catkinloom {

/// What an instance is told to do.
enum class promotion_verb
{
  /// Adopt the term for this owner, stop leading and stop following.
  Fence,
  /// Lead the term that was fenced for this owner.
  Promote,
  /// Follow the named leader in the term.
  Follow,
};

/// One order to one instance.
struct promotion_command
{
  promotion_verb mVerb;
  group_row_number mGroup;
  instance_number mInstance;
  term_number mTerm;
  /// Attempt that owns the term; empty for Follow.
  std::string mOwner;
  /// Instance to follow; only for Follow.
  instance_number mLeader = 0;
};

/// Answer to a promotion_command.
struct promotion_answer
{
  /// The instance did as told, now or in an earlier try of the same order.
  bool mGranted = false;
  instance_report mReport;
  time_point mSentAt;
};

/// Timing of detection and promotion.
struct promotion_settings
{
  /// Silence of the primary towards its replicas that counts as loss.
  milliseconds mPrimaryContactTimeout{ 300 };
  /// Age beyond which a report says nothing about the present.
  milliseconds mReportLifetime{ 1000 };
  /// Delay of each further proxy, so that one promotes and the rest watch.
  milliseconds mRankDelay{ 200 };
  /// Time after which an attempt that got stuck is given up.
  milliseconds mAttemptTimeout{ 800 };
  /// Longest trust in a majority's word on a term; see router_settings.
  milliseconds mTermLease{ 250 };
  /// Pause between two repairs of the same instance.
  milliseconds mRepairInterval{ 300 };
};

/// Replaces lost primaries and brings straying instances back in line.
///
/// A new term is owned by one attempt: an instance grants a term to the first
/// owner that asks and to no other.  A majority of grants therefore excludes
/// every other attempt of that term, and it contains an instance that holds
/// each confirmed write.  No step needs the platform.
class promotion_system
{
public:
  /// aIdentity names this process start, so that no two starts share a term.
  promotion_system(promotion_settings aSettings, std::string aIdentity)
    : mSettings(aSettings)
    , mIdentity(std::move(aIdentity))
  {
  }

  /// Looks at one group and appends what is to be done.  aRank is the number
  /// of live proxies that come before this one for the group.
  void Tick(const group_table& aTable,
            group_row_number aGroup,
            std::size_t aRank,
            time_point aNow,
            std::vector<promotion_command>& aCommands);

  /// Takes an instance's answer to a Fence or Promote of this process.
  void OnAnswer(group_table& aTable,
                const promotion_command& aCommand,
                const promotion_answer& aAnswer,
                time_point aNow,
                std::vector<promotion_command>& aCommands);

  /// True while this proxy tries to replace the group's primary.
  bool IsPromoting(group_row_number aGroup) const;

  /// Forgets all attempts; row numbers may have changed.
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
    /// When a majority had granted the fence.
    std::optional<time_point> mFencedAt;
    std::optional<time_point> mPrimaryLostSince;
    /// Term that was highest when the loss was first seen.
    term_number mTermAtLoss = 0;
    std::vector<std::optional<log_position>> mGrants;
    /// Instances that should not lead: the lost primary, which its replicas
    /// cannot reach although this proxy may, and those that are leaving.
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
