/// Measures the cost of a routing decision at three table sizes.  Prints one
/// line per size: GROUPS NANOSECONDS_PER_DECISION ALLOCATIONS REPLICA_READS.

#include "clGroupTestData.h"
#include "clRouter.h"

#include <array>
#include <chrono>
#include <cstdlib>
#include <fmt/format.h>
#include <new>
#include <random>

namespace {

std::uint64_t sAllocations = 0;

} // namespace

void*
operator new(std::size_t aSize)
{
  ++sAllocations;
  void* memory = std::malloc(aSize);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  return memory;
}

void
operator delete(void* aMemory) noexcept
{
  std::free(aMemory);
}

void
operator delete(void* aMemory, std::size_t) noexcept
{
  std::free(aMemory);
}

namespace {

using namespace catkinloom;

constexpr std::size_t kDecisions = 2000000;
constexpr std::size_t kReportsPerInstance = 100;

void
FillTable(group_table& aTable, std::size_t aGroups)
{
  std::vector<manifest_group> groups;
  for (std::size_t i = 0; i < aGroups; ++i) {
    groups.push_back(ThreeInstances("database-group-" + std::to_string(i)));
  }
  aTable.Apply(groups);
  for (group_row_number group = 0; group < aGroups; ++group) {
    for (std::size_t i = 0; i < kReportsPerInstance; ++i) {
      const log_position head{ 1, i };
      const auto now = At(static_cast<std::int64_t>(60 * i));
      aTable.Record(group, 0, ReportOf(1, head, true), now);
      aTable.Record(group, 1, ReportOf(1, head, false), now);
      aTable.Record(group, 2, ReportOf(1, { 1, i - i / 50 }, false), now);
    }
  }
}

void
Measure(std::size_t aGroups)
{
  group_table table;
  FillTable(table, aGroups);
  const router router({}, "b");
  std::minstd_rand random(1);
  std::array<char, 64> name{};
  std::uint64_t replicas = 0;
  const std::uint64_t allocations = sAllocations;
  const auto start = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < kDecisions; ++i) {
    // A request brings its group name in its own buffer, so formatting the name
    // must not allocate.
    const auto end =
      fmt::format_to(name.begin(), "database-group-{}", random() % aGroups);
    const auto group =
      table.Find({ name.data(), static_cast<std::size_t>(end - name.begin()) });
    const read_requirements requirements{ { 1, 50 }, milliseconds(2000), 0 };
    const route_decision decision =
      router.DecideRead(table.Group(*group), requirements, At(6000));
    replicas += decision.mAction == route_action::UseReplica ? 1 : 0;
  }
  const std::chrono::duration<double, std::nano> elapsed =
    std::chrono::steady_clock::now() - start;
  fmt::print("{} {:.0f} {} {}\n",
             aGroups,
             elapsed.count() / kDecisions,
             sAllocations - allocations,
             replicas);
}

} // namespace

int
main()
{
  for (const std::size_t groups : { 9U, 300U, 6300U }) {
    Measure(groups);
  }
  return 0;
}
