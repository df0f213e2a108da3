#pragma once

#include "clGroupTable.h"
#include "clPromotionSystem.h"

#include <optional>
#include <vector>

namespace catkinloom {

/// One log entry; mWrite is 0 for the entry that starts a term.
struct history_entry
{
  term_number mTerm = 0;
  std::uint32_t mWrite = 0;
};

/// One database instance of the simulated group.
struct history_instance
{
  term_number mTerm = 0;
  /// Promotion attempt that owns the term; empty if the term was adopted by
  /// following a leader.
  std::string mOwner;
  bool mLeads = false;
  std::optional<instance_number> mFollows;
  std::vector<history_entry> mLog;
  time_point mLastContactAt;
  /// Replication to and from the rest of its group is cut.
  bool mIsolated = false;
  /// Maximum number of entries that one call of Replicate copies.
  std::size_t mMaxReplicationBatch = 100;

  log_position LastPosition() const;
};

/// In-memory database group that follows the replication rules required of an
/// upstream.
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

  /// Appends a write.  Returns its position, or nothing when the instance does
  /// not lead.
  std::optional<log_position> Write(instance_number aInstance,
                                    std::uint32_t aWrite);

  /// Copies entries to a replica from the instance that it follows, or removes
  /// its last entry when the logs conflict.
  void Replicate(instance_number aInstance, time_point aNow);

  /// Whether the instance's log has this write at this position.
  bool Holds(instance_number aInstance,
             log_position aPosition,
             std::uint32_t aWrite) const;

  /// The instance that leads with the highest term.
  std::optional<instance_number> Leader() const;

private:
  bool Fence(history_instance& aInstance, const promotion_command& aCommand);
  bool Promote(history_instance& aInstance, const promotion_command& aCommand);
  bool Follow(history_instance& aInstance,
              const promotion_command& aCommand,
              time_point aNow);

  std::vector<history_instance> mInstances;
};

/// Name of an instance: `a`, `b`, ...
std::string
HistoryInstanceName(instance_number aInstance);

} // namespace catkinloom
