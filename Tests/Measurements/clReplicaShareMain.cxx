/// Measures the share of reads that the router sends to replicas, relative to
/// an ideal router that knows the true position of each replica.  Load profile
/// of the installation Himal: one replica lags by 0 to 5 s, another by 180 s.
/// Prints SHARE_OF_IDEAL SHARE VIOLATIONS PROBES_PER_SECOND.

#include "clGroupTestData.h"
#include "clProbeSchedule.h"
#include "clResponseEvaluation.h"

#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <random>

namespace {

using namespace catkinloom;

constexpr std::int64_t kDurationMs = 600000;
constexpr std::int64_t kProbeIntervalMs = 200;
constexpr std::int64_t kFarReplicaLagMs = 180000;
constexpr std::int64_t kResponseTimeMs = 8;
constexpr milliseconds kMaxAges[] = { milliseconds(2000), milliseconds(5000) };

/// Write times of a primary's log, from which the true position and age of a
/// lagging replica follow.
class true_log
{
public:
  void Write(std::int64_t aNow) { mWrittenAt.push_back(aNow); }

  std::uint64_t Head() const { return mWrittenAt.size(); }

  /// Number of entries written up to aMoment.
  std::uint64_t HeadAt(std::int64_t aMoment) const
  {
    const auto end =
      std::upper_bound(mWrittenAt.begin(), mWrittenAt.end(), aMoment);
    return static_cast<std::uint64_t>(end - mWrittenAt.begin());
  }

  /// True age of a replica whose log ends at aIndex.
  std::int64_t AgeOf(std::uint64_t aIndex, std::int64_t aNow) const
  {
    return aIndex >= Head() ? 0 : aNow - mWrittenAt[aIndex];
  }

private:
  std::vector<std::int64_t> mWrittenAt;
};

/// Lag of the less delayed replica: a triangle wave between 0 and 5 s with a
/// period of 80 s.
std::int64_t
LagAt(std::int64_t aNow)
{
  const std::int64_t phase = aNow / 8 % 10000;
  return phase < 5000 ? phase : 10000 - phase;
}

struct share_totals
{
  /// Reads that the ideal router sends to a replica.
  std::uint64_t mReplicaEligible = 0;
  std::uint64_t mReads = 0;
  std::uint64_t mServedByReplica = 0;
  /// Reads served by a replica whose data was older than the maximum age.
  std::uint64_t mViolations = 0;
  std::uint64_t mProbes = 0;
};

class share_simulation
{
public:
  share_simulation()
  {
    mTable.Apply({ ThreeInstances("g") });
    mTable.SetMaxStalenessBound(kMaxAges[1]);
  }

  share_totals Run()
  {
    for (std::int64_t now = 0; now < kDurationMs; ++now) {
      if (mRandom() % 50 == 0) {
        mLog.Write(now);
      }
      Probe(now);
      if (now > kProbeIntervalMs && mRandom() % 5 == 0) {
        Read(now);
      }
    }
    return mTotals;
  }

private:
  log_position PositionOf(instance_number aInstance, std::int64_t aNow) const
  {
    const std::int64_t lags[] = { 0, LagAt(aNow), kFarReplicaLagMs };
    return { 1, mLog.HeadAt(aNow - lags[aInstance]) };
  }

  void Probe(std::int64_t aNow)
  {
    for (const instance_number i : { 0U, 1U, 2U }) {
      if (aNow < mNextProbe[i]) {
        continue;
      }
      mTable.Record(0, i, ReportOf(1, PositionOf(i, aNow), i == 0), At(aNow));
      const auto delay = NextProbeDelay(
        mTable.Group(0), i, milliseconds(kProbeIntervalMs), At(aNow));
      mNextProbe[i] =
        aNow + std::chrono::duration_cast<milliseconds>(delay).count();
      ++mTotals.mProbes;
    }
  }

  void Read(std::int64_t aNow)
  {
    // One reader in ten wrote within the last 4 s and must see its write.
    const milliseconds age = kMaxAges[mRandom() % 2];
    read_requirements requirements{ {}, age, 0 };
    mTable.RecordBoundedStalenessRead(0, age, At(aNow));
    if (mRandom() % 10 == 0) {
      requirements.mFloor = {
        1, mLog.HeadAt(aNow - static_cast<std::int64_t>(mRandom() % 4000))
      };
    }
    ++mTotals.mReads;
    bool isEligible = false;
    for (const instance_number i : { 1U, 2U }) {
      const log_position position = PositionOf(i, aNow);
      isEligible |= position >= requirements.mFloor &&
                    mLog.AgeOf(position.mIndex, aNow) <= age.count();
    }
    mTotals.mReplicaEligible += isEligible ? 1 : 0;
    const route_decision decision =
      mRouter.DecideRead(mTable.Group(0), requirements, At(aNow));
    const log_position position = PositionOf(decision.mInstance, aNow);
    const read_evaluation evaluation = EvaluateRead(mRouter,
                                                    mTable.Group(0),
                                                    requirements,
                                                    decision,
                                                    { 1, position },
                                                    At(aNow),
                                                    At(aNow + kResponseTimeMs));
    mTable.RecordProgress(0, decision.mInstance, 1, position, At(aNow));
    const bool served = decision.mAction == route_action::UseReplica &&
                        evaluation == read_evaluation::Serve;
    mTotals.mServedByReplica += served ? 1 : 0;
    const bool tooOld = mLog.AgeOf(position.mIndex, aNow) > age.count();
    mTotals.mViolations += served && tooOld ? 1 : 0;
  }

  group_table mTable;
  router mRouter{ {}, "b" };
  true_log mLog;
  std::minstd_rand mRandom{ 7 };
  std::int64_t mNextProbe[3] = {};
  share_totals mTotals;
};

} // namespace

int
main()
{
  const share_totals totals = share_simulation().Run();
  fmt::print("{:.4f} {:.4f} {} {:.1f}\n",
             static_cast<double>(totals.mServedByReplica) /
               static_cast<double>(totals.mReplicaEligible),
             static_cast<double>(totals.mServedByReplica) /
               static_cast<double>(totals.mReads),
             totals.mViolations,
             static_cast<double>(totals.mProbes) * 1000.0 / kDurationMs);
  return 0;
}
