#include "clSessionFile.h"

#include "clYamlMapping.h"

#include <fmt/format.h>

namespace catkinloom {

namespace {

/// Allowed range of each key under `bounds`.
constexpr milliseconds kMinBound{ 500 };
constexpr milliseconds kMaxBound{ 600000 };

result<void>
ReadAddresses(const yaml_mapping& aRoot, session_file& aFile)
{
  BOOST_OUTCOME_TRY(const yaml_mapping store,
                    aRoot.Mapping("store", { "address" }));
  BOOST_OUTCOME_TRY(aFile.mStoreAddress, store.Text("address"));
  BOOST_OUTCOME_TRY(const yaml_mapping promotions,
                    aRoot.Mapping("promotions", { "address", "fenced" }));
  BOOST_OUTCOME_TRY(aFile.mFencedPromotions,
                    promotions.Flag("fenced", aFile.mFencedPromotions));
  if (promotions.Has("address")) {
    BOOST_OUTCOME_TRY(aFile.mPromotionAddress, promotions.Text("address"));
  }
  return boost::outcome_v2::success();
}

/// Reads a bound, or keeps its default and adds a warning if the value is
/// invalid.  The platform fills in the bounds from a template, so an invalid
/// one must not prevent the proxy from starting.
void
ReadBound(const yaml_mapping& aBounds,
          std::string_view aKey,
          milliseconds& aBound,
          std::vector<std::string>& aWarnings)
{
  const auto bound = aBounds.Duration(aKey, kMinBound, kMaxBound, aBound);
  if (bound) {
    aBound = bound.value();
    return;
  }
  aWarnings.push_back(
    fmt::format("{} {}ms is used.", bound.error().mDetail, aBound.count()));
}

result<void>
ReadBounds(const yaml_mapping& aRoot, session_file& aFile)
{
  BOOST_OUTCOME_TRY(const yaml_mapping bounds,
                    aRoot.Mapping("bounds", { "grace", "change_in_force" }));
  ReadBound(
    bounds, "grace", aFile.mBounds.mTerminationGracePeriod, aFile.mWarnings);
  ReadBound(bounds,
            "change_in_force",
            aFile.mBounds.mMaxChangePropagation,
            aFile.mWarnings);
  return boost::outcome_v2::success();
}

result<void>
ReadListen(const yaml_mapping& aRoot, session_file& aFile)
{
  BOOST_OUTCOME_TRY(const yaml_mapping listen,
                    aRoot.Mapping("listen", { "callers", "ready", "metrics" }));
  BOOST_OUTCOME_TRY(aFile.mCallerAddress, listen.Text("callers"));
  BOOST_OUTCOME_TRY(aFile.mReadyAddress, listen.Text("ready"));
  BOOST_OUTCOME_TRY(aFile.mMetricsAddress, listen.Text("metrics"));
  return boost::outcome_v2::success();
}

result<void>
ReadNames(const yaml_mapping& aRoot, session_file& aFile)
{
  BOOST_OUTCOME_TRY(aFile.mName, aRoot.Text("name"));
  BOOST_OUTCOME_TRY(aFile.mZone, aRoot.Text("zone"));
  BOOST_OUTCOME_TRY(const yaml_mapping log, aRoot.Mapping("log", { "level" }));
  BOOST_OUTCOME_TRY(aFile.mLogLevel, log.Text("level", aFile.mLogLevel));
  return boost::outcome_v2::success();
}

} // namespace

result<session_file>
ReadSessionFile(const std::string& aFile, const std::string& aText)
{
  BOOST_OUTCOME_TRY(const YAML::Node node,
                    LoadYaml(aFile, aText, error_kind::BadSettings));
  BOOST_OUTCOME_TRY(
    const yaml_mapping root,
    yaml_mapping::FromNode(
      aFile,
      node,
      error_kind::BadSettings,
      { "name", "zone", "listen", "store", "promotions", "bounds", "log" }));
  session_file file;
  BOOST_OUTCOME_TRY(ReadNames(root, file));
  BOOST_OUTCOME_TRY(ReadListen(root, file));
  BOOST_OUTCOME_TRY(ReadAddresses(root, file));
  BOOST_OUTCOME_TRY(ReadBounds(root, file));
  return file;
}

} // namespace catkinloom
