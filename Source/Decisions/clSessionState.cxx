#include "clSessionState.h"

namespace catkinloom {

namespace {

/// Cost of a reset relative to setting one value: a reset also discards every
/// prepared statement.
constexpr std::size_t kResetCost = 4;

/// Number of statements prepared on a connection at which it is reset before
/// the next one is prepared.
constexpr std::size_t kMaxPrepared = 256;

bool
HasForeignValue(const session_state& aSession,
                const connection_session_state& aConnection)
{
  for (const auto& [name, value] : aConnection.mValues) {
    if (aSession.mValues.count(name) == 0) {
      return true;
    }
  }
  return false;
}

} // namespace

connection_preparation
PlanPreparation(const session_state& aSession,
                const connection_session_state& aConnection,
                const std::optional<prepared_statement>& aNeeded)
{
  connection_preparation plan;
  const bool isPrepared = !aNeeded || aConnection.mPrepared.count(*aNeeded) > 0;
  plan.mReset = HasForeignValue(aSession, aConnection) ||
                (!isPrepared && aConnection.mPrepared.size() >= kMaxPrepared);
  for (const auto& [name, value] : aSession.mValues) {
    const auto current = aConnection.mValues.find(name);
    const bool equal = current != aConnection.mValues.end() &&
                       current->second == value && !plan.mReset;
    if (!equal) {
      plan.mSetValues.emplace_back(name, value);
    }
  }
  if (aNeeded && (plan.mReset || !isPrepared)) {
    // A caller's text is no part of the name: a shape may contain blanks.
    plan.mPrepareName = "s" + std::to_string(aConnection.mNamesGiven + 1);
    plan.mPrepare = *aNeeded;
  }
  return plan;
}

std::size_t
PreparationCost(const session_state& aSession,
                const connection_session_state& aConnection)
{
  const connection_preparation plan =
    PlanPreparation(aSession, aConnection, std::nullopt);
  return plan.mSetValues.size() + (plan.mReset ? kResetCost : 0);
}

void
ApplyPreparation(const connection_preparation& aPreparation,
                 connection_session_state& aConnection)
{
  if (aPreparation.mReset) {
    aConnection.mValues.clear();
    aConnection.mPrepared.clear();
  }
  for (const auto& [name, value] : aPreparation.mSetValues) {
    aConnection.mValues[name] = value;
  }
  if (!aPreparation.mPrepareName.empty()) {
    aConnection.mPrepared[aPreparation.mPrepare] = aPreparation.mPrepareName;
    ++aConnection.mNamesGiven;
  }
}

} // namespace catkinloom
