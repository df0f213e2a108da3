#include "clCallerClassTable.h"

namespace catkinloom {

namespace {

constexpr std::string_view kDefaultClass = "default";
constexpr std::uint32_t kDefaultMaxInFlight = 10000;
constexpr std::uint32_t kDefaultMaxQueue = 10000;

} // namespace

void
caller_class_table::Apply(const std::vector<manifest_caller>& aCallers)
{
  if (mRows.empty()) {
    mRows.push_back({ { std::string(kDefaultClass),
                        1,
                        kDefaultMaxInFlight,
                        kDefaultMaxQueue } });
    mIndex.Add(kDefaultClass, 0);
  }
  for (const manifest_caller& caller : aCallers) {
    if (const auto row = mIndex.Find(caller.mName)) {
      mRows[*row].mDeclared = caller;
      continue;
    }
    mIndex.Add(caller.mName, static_cast<caller_class_number>(mRows.size()));
    mRows.push_back({ caller });
  }
}

caller_class_number
caller_class_table::Find(std::string_view aName) const
{
  return mIndex.Find(aName).value_or(0);
}

} // namespace catkinloom
