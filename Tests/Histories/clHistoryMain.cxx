/// Property-based test that runs random histories against the decision code and
/// counts violations of the consistency guarantees.  Usage:
/// catkinloom-histories COUNT SEED POLICY.  POLICY is `confirmed` or `primary`.
/// A failing history is shrunk and printed.

#include "Histories/clHistorySimulation.h"

#include <cstdlib>
#include <fmt/format.h>
#include <rapidcheck.h>

namespace {

using namespace catkinloom;

constexpr std::size_t kSteps = 160;
constexpr std::uint32_t kStepLimit = 1U << 30U;

/// Under the Primary policy the operator accepts the loss of the last writes of
/// a failed primary, so lost writes don't count; all other guarantees do.
std::uint64_t
ViolationsUnder(acknowledge_policy aPolicy, const history_counts& aCounts)
{
  return aPolicy == acknowledge_policy::Confirmed
           ? aCounts.Violations()
           : aCounts.Violations() - aCounts.mLostWrites;
}

} // namespace

int
main(int argc, char** argv)
{
  const std::string count = argc > 1 ? argv[1] : "2000";
  const std::string seed = argc > 2 ? argv[2] : "1";
  const bool primary = argc > 3 && std::string(argv[3]) == "primary";
  const acknowledge_policy policy =
    primary ? acknowledge_policy::Primary : acknowledge_policy::Confirmed;
  const std::string parameters =
    fmt::format("max_success={} seed={} noshrink=0", count, seed);
  ::setenv("RC_PARAMS", parameters.c_str(), 1);
  history_counts totals;
  const bool passed =
    rc::check("all consistency guarantees hold in every history", [&] {
      const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
        kSteps, rc::gen::resize(100, rc::gen::inRange(0U, kStepLimit)));
      history_simulation simulation(2 + steps.front() % 2, policy);
      for (const std::uint32_t step : steps) {
        simulation.Step(step);
      }
      const history_counts counts = simulation.Finish();
      totals.Add(counts);
      RC_ASSERT(ViolationsUnder(policy, counts) == 0U);
    });
  fmt::print("histories={} seed={} policy={} acknowledged={} reads={} "
             "replica_reads={} promotions={} stale_reads={} lost_writes={} "
             "stale_acknowledgements={} too_old_reads={}\n",
             count,
             seed,
             primary ? "primary" : "confirmed",
             totals.mAcknowledged,
             totals.mServedReads,
             totals.mReplicaReads,
             totals.mPromotions,
             totals.mStaleReads,
             totals.mLostWrites,
             totals.mStaleAcknowledgements,
             totals.mTooOldReads);
  return passed ? 0 : 1;
}
