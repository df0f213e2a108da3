#include "clSessionState.h"

namespace catkinloom {

namespace {

/// Cost of a reset against setting one value: it also loses every prepared
/// statement.
constexpr std::size_t kResetCost = 4;

bool
HoldsForeignValue(const session_state& aSession,
                  const connection_memory& aConnection)
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
                const connection_memory& aConnection,
                const std::optional<prepared_statement>& aNeeded)
{
  connection_preparation plan;
  plan.mReset = HoldsForeignValue(aSession, aConnection);
  for (const auto& [name, value] : aSession.mValues) {
    const auto held = aConnection.mValues.find(name);
    const bool equal = held != aConnection.mValues.end() &&
                       held->second == value && !plan.mReset;
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
                const connection_memory& aConnection)
{
  const connection_preparation plan =
    PlanPreparation(aSession, aConnection, std::nullopt);
  return plan.mSetValues.size() + (plan.mReset ? kResetCost : 0);
}

void
ApplyPreparation(const connection_preparation& aDone,
                 connection_memory& aConnection)
{
  if (aDone.mReset) {
    aConnection = {};
  }
  for (const auto& [name, value] : aDone.mSetValues) {
    aConnection.mValues[name] = value;
  }
  if (!aDone.mPrepareName.empty()) {
    aConnection.mPrepared.insert(aDone.mPrepareName);
  }
}

} // namespace catkinloom
