#include "clSessionFile.h"

#include "clYamlMapping.h"

namespace catkinloom {

namespace {

result<void>
ReadAddresses(const yaml_mapping& aRoot, session_file& aFile)
{
  BOOST_OUTCOME_TRY(const yaml_mapping store,
                    aRoot.Mapping("store", { "address" }));
  BOOST_OUTCOME_TRY(aFile.mStore, store.Text("address"));
  BOOST_OUTCOME_TRY(const yaml_mapping promotions,
                    aRoot.Mapping("promotions", { "address" }));
  if (promotions.Has("address")) {
    BOOST_OUTCOME_TRY(aFile.mPromotions, promotions.Text("address"));
  }
  return boost::outcome_v2::success();
}

result<void>
ReadListen(const yaml_mapping& aRoot, session_file& aFile)
{
  BOOST_OUTCOME_TRY(const yaml_mapping listen,
                    aRoot.Mapping("listen", { "callers", "ready", "metrics" }));
  BOOST_OUTCOME_TRY(aFile.mCallers, listen.Text("callers"));
  BOOST_OUTCOME_TRY(aFile.mReady, listen.Text("ready"));
  BOOST_OUTCOME_TRY(aFile.mMetrics, listen.Text("metrics"));
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
    yaml_mapping::Open(
      aFile,
      node,
      error_kind::BadSettings,
      { "name", "zone", "listen", "store", "promotions", "log" }));
  session_file file;
  BOOST_OUTCOME_TRY(ReadNames(root, file));
  BOOST_OUTCOME_TRY(ReadListen(root, file));
  BOOST_OUTCOME_TRY(ReadAddresses(root, file));
  return file;
}

} // namespace catkinloom
