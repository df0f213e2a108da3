#include "clSessionState.h"

namespace catkinloom {

namespace {

/// Cost of a reset relative to setting one value: a reset also discards every
/// prepared statement.
constexpr std::size_t kResetCost = 4;

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

std::string
SharedNameOf(const prepared_statement& aPrepared)
{
  const char* mode = aPrepared.mMode == access_mode::Read ? "r_" : "w_";
  return mode + aPrepared.mShape;
}

connection_preparation
PlanPreparation(const session_state& aSession,
                const connection_session_state& aConnection,
                const std::optional<prepared_statement>& aNeeded)
{
  connection_preparation plan;
  plan.mReset = HasForeignValue(aSession, aConnection);
  for (const auto& [name, value] : aSession.mValues) {
    const auto current = aConnection.mValues.find(name);
    const bool equal = current != aConnection.mValues.end() &&
                       current->second == value && !plan.mReset;
    if (!equal) {
      plan.mSetValues.emplace_back(name, value);
    }
  }
  if (aNeeded) {
    std::string shared = SharedNameOf(*aNeeded);
    if (plan.mReset || aConnection.mPrepared.count(shared) == 0) {
      plan.mPrepareName = std::move(shared);
      plan.mPrepare = *aNeeded;
    }
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
    aConnection = {};
  }
  for (const auto& [name, value] : aPreparation.mSetValues) {
    aConnection.mValues[name] = value;
  }
  if (!aPreparation.mPrepareName.empty()) {
    aConnection.mPrepared.insert(aPreparation.mPrepareName);
  }
}

} // namespace catkinloom
