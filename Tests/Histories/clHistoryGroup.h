#pragma once

#include "clGroupTable.h"
#include "clPromotionSystem.h"

#include <optional>
#include <vector>

namespace catkinloom {

/// One committed write of a history.
struct history_entry
{
  term_number mTerm = 0;
  std::uint32_t mWrite = 0;
};

/// One instance of the in-memory group.
struct history_instance
{
  term_number mTerm = 0;
  std::string mOwner;
  bool mLeads = false;
  std::optional<instance_number> mFollows;
  std::vector<history_entry> mLog;
  time_point mLastContactAt;
  /// It exchanges nothing with the rest of its group.
  bool mIsolated = false;
  /// Entries that it takes over in one pull.
  std::size_t mPullBatch = 100;

  log_position LastPosition() const;
};

/// A database group in memory, with the rules that an upstream must keep.
class history_group
{
public:
  explicit history_group(std::size_t aInstances)
    : mInstances(aInstances)
  {
  }

  history_instance& At(instance_number aInstance)
  {
    return mInstances[aInstance];
  }

  std::size_t Size() const { return mInstances.size(); }

  instance_report Report(instance_number aInstance, time_point aNow) const;
  promotion_answer ExecuteCommand(const promotion_command& aCommand,
                                  time_point aNow);

  /// Runs a write; empty when the instance does not lead.
  std::optional<log_position> Write(instance_number aInstance,
                                    std::uint32_t aWrite);

  /// Lets a replica take over entries of the instance that it follows.
  void Pull(instance_number aInstance, time_point aNow);

  bool Holds(instance_number aInstance,
             log_position aPosition,
             std::uint32_t aWrite) const;

  /// The leader of the highest term that anyone leads.
  std::optional<instance_number> Leader() const;

private:
  bool Fence(history_instance& aInstance, const promotion_command& aCommand);
  bool Promote(history_instance& aInstance, const promotion_command& aCommand);
  bool Follow(history_instance& aInstance,
              const promotion_command& aCommand,
              time_point aNow);

  std::vector<history_instance> mInstances;
};

/// Name of an instance in a history.
std::string
HistoryInstanceName(instance_number aInstance);

} // namespace catkinloom
