#include "clGroupTestData.h"

namespace catkinloom {

time_point
At(std::int64_t aMilliseconds)
{
  // Offset from zero, so that an unset time point is not mistaken for a recent
  // one.
  return time_point(std::chrono::hours(1) + milliseconds(aMilliseconds));
}

manifest_group
ThreeInstances(const std::string& aName)
{
  manifest_group group;
  group.mName = aName;
  for (const char* name : { "a", "b", "c" }) {
    group.mInstances.push_back({ aName + name, name, "127.0.0.1:1", 3, 20 });
  }
  return group;
}

instance_report
ReportOf(term_number aTerm, log_position aLog, bool aLeads)
{
  instance_report report;
  report.mTerm = aTerm;
  report.mLog = aLog;
  report.mLeads = aLeads;
  return report;
}

} // namespace catkinloom
