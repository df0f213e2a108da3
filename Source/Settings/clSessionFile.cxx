#include "clSessionFile.h"

#include "clYamlMapping.h"

namespace catkinloom {

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
  BOOST_OUTCOME_TRY(file.mName, root.Text("name"));
  BOOST_OUTCOME_TRY(file.mZone, root.Text("zone"));
  BOOST_OUTCOME_TRY(const yaml_mapping listen,
                    root.Mapping("listen", { "callers", "ready", "metrics" }));
  BOOST_OUTCOME_TRY(file.mCallers, listen.Text("callers"));
  BOOST_OUTCOME_TRY(file.mReady, listen.Text("ready"));
  BOOST_OUTCOME_TRY(file.mMetrics, listen.Text("metrics"));
  BOOST_OUTCOME_TRY(const yaml_mapping store,
                    root.Mapping("store", { "address" }));
  BOOST_OUTCOME_TRY(file.mStore, store.Text("address"));
  BOOST_OUTCOME_TRY(const yaml_mapping promotions,
                    root.Mapping("promotions", { "address" }));
  if (promotions.Has("address")) {
    BOOST_OUTCOME_TRY(file.mPromotions, promotions.Text("address"));
  }
  BOOST_OUTCOME_TRY(const yaml_mapping log, root.Mapping("log", { "level" }));
  BOOST_OUTCOME_TRY(file.mLogLevel, log.Text("level", file.mLogLevel));
  return file;
}

} // namespace catkinloom
