#include "clDaemonSettings.h"

#include "clYamlMapping.h"

#include <array>

namespace catkinloom {

namespace {

/// An integer key of a settings section; both bounds are inclusive.
template<class Section>
struct number_key
{
  std::string_view mName;
  std::uint32_t Section::*mMember;
  std::uint32_t mMin;
  std::uint32_t mMax;
};

/// A duration key of a settings section; both bounds are inclusive and in
/// milliseconds.
template<class Section>
struct duration_key
{
  std::string_view mName;
  milliseconds Section::*mMember;
  std::int64_t mMin;
  std::int64_t mMax;
};

constexpr std::array kLimitNumbers{
  number_key<limit_settings>{ "header_bytes",
                              &limit_settings::mHeaderBytes,
                              1024,
                              65536 },
  number_key<limit_settings>{ "body_bytes",
                              &limit_settings::mBodyBytes,
                              1024,
                              16777216 },
  number_key<limit_settings>{ "retry_percent",
                              &limit_settings::mRetryPercent,
                              0,
                              20 },
};

constexpr std::array kLimitDurations{
  duration_key<limit_settings>{ "read_timeout",
                                &limit_settings::mReadTimeout,
                                100,
                                60000 },
  duration_key<limit_settings>{ "default_deadline",
                                &limit_settings::mDefaultDeadline,
                                50,
                                60000 },
  duration_key<limit_settings>{ "max_deadline",
                                &limit_settings::mMaxDeadline,
                                50,
                                300000 },
  duration_key<limit_settings>{ "drain_timeout",
                                &limit_settings::mDrainTimeout,
                                100,
                                300000 },
  duration_key<limit_settings>{ "drain_notice",
                                &limit_settings::mDrainNotice,
                                0,
                                60000 },
};

constexpr std::array kTimingDurations{
  duration_key<timing_settings>{ "tick",
                                 &timing_settings::mTickInterval,
                                 10,
                                 1000 },
  duration_key<timing_settings>{ "probe_interval",
                                 &timing_settings::mProbeInterval,
                                 20,
                                 10000 },
  duration_key<timing_settings>{ "probe_timeout",
                                 &timing_settings::mProbeTimeout,
                                 20,
                                 10000 },
  duration_key<timing_settings>{ "connect_timeout",
                                 &timing_settings::mConnectTimeout,
                                 20,
                                 10000 },
  duration_key<timing_settings>{ "attempt_timeout",
                                 &timing_settings::mAttemptTimeout,
                                 50,
                                 60000 },
  duration_key<timing_settings>{ "primary_silence",
                                 &timing_settings::mPrimaryContactTimeout,
                                 100,
                                 10000 },
  duration_key<timing_settings>{ "term_permit",
                                 &timing_settings::mTermLease,
                                 50,
                                 5000 },
  duration_key<timing_settings>{ "session_wait",
                                 &timing_settings::mSessionWaitTimeout,
                                 0,
                                 10000 },
  duration_key<timing_settings>{ "idle_check",
                                 &timing_settings::mIdleCheckInterval,
                                 10,
                                 600000 },
  duration_key<timing_settings>{ "heartbeat",
                                 &timing_settings::mHeartbeatInterval,
                                 50,
                                 10000 },
  duration_key<timing_settings>{ "peer_timeout",
                                 &timing_settings::mPeerTimeout,
                                 200,
                                 60000 },
  duration_key<timing_settings>{ "vm_list_interval",
                                 &timing_settings::mVmListInterval,
                                 100,
                                 60000 },
};

template<class Section, std::size_t Size>
result<void>
ReadNumbers(const yaml_mapping& aMapping,
            const std::array<number_key<Section>, Size>& aKeys,
            Section& aSection)
{
  for (const number_key<Section>& key : aKeys) {
    BOOST_OUTCOME_TRY(
      aSection.*key.mMember,
      aMapping.Number(key.mName, key.mMin, key.mMax, aSection.*key.mMember));
  }
  return boost::outcome_v2::success();
}

template<class Section, std::size_t Size>
result<void>
ReadDurations(const yaml_mapping& aMapping,
              const std::array<duration_key<Section>, Size>& aKeys,
              Section& aSection)
{
  for (const duration_key<Section>& key : aKeys) {
    BOOST_OUTCOME_TRY(aSection.*key.mMember,
                      aMapping.Duration(key.mName,
                                        milliseconds(key.mMin),
                                        milliseconds(key.mMax),
                                        aSection.*key.mMember));
  }
  return boost::outcome_v2::success();
}

template<class Keys>
void
AppendNames(const Keys& aKeys, std::vector<std::string_view>& aNames)
{
  for (const auto& key : aKeys) {
    aNames.push_back(key.mName);
  }
}

result<std::vector<std::string>>
ReadTexts(const yaml_mapping& aMapping, std::string_view aKey)
{
  std::vector<std::string> texts;
  BOOST_OUTCOME_TRY(
    aMapping.ForEach(aKey, [&](const YAML::Node& aItem) -> result<void> {
      if (!aItem.IsScalar()) {
        return aMapping.ErrorAt(aKey,
                                "Each item must be an address as IP:port.");
      }
      texts.push_back(aItem.Scalar());
      return boost::outcome_v2::success();
    }));
  return texts;
}

result<void>
ReadListen(const yaml_mapping& aRoot, listen_settings& aListen)
{
  BOOST_OUTCOME_TRY(
    const yaml_mapping listen,
    aRoot.Mapping("listen", { "callers", "operators", "peers" }));
  BOOST_OUTCOME_TRY(aListen.mCallers, listen.Text("callers"));
  BOOST_OUTCOME_TRY(aListen.mOperators, listen.Text("operators"));
  BOOST_OUTCOME_TRY(aListen.mPeers, listen.Text("peers"));
  return boost::outcome_v2::success();
}

result<void>
ReadPlatform(const yaml_mapping& aRoot, daemon_settings& aSettings)
{
  BOOST_OUTCOME_TRY(const yaml_mapping platform,
                    aRoot.Mapping("platform", { "addresses", "timeout" }));
  BOOST_OUTCOME_TRY(aSettings.mPlatformAddresses,
                    ReadTexts(platform, "addresses"));
  if (aSettings.mPlatformAddresses.empty()) {
    return platform.ErrorAt(
      "addresses", "'platform.addresses' must list one IP:port or more.");
  }
  BOOST_OUTCOME_TRY(aSettings.mPlatformTimeout,
                    platform.Duration("timeout",
                                      milliseconds(50),
                                      milliseconds(30000),
                                      aSettings.mPlatformTimeout));
  return boost::outcome_v2::success();
}

result<void>
ReadLimits(const yaml_mapping& aRoot, limit_settings& aLimits)
{
  std::vector<std::string_view> names;
  AppendNames(kLimitNumbers, names);
  AppendNames(kLimitDurations, names);
  BOOST_OUTCOME_TRY(const yaml_mapping limits, aRoot.Mapping("limits", names));
  BOOST_OUTCOME_TRY(ReadNumbers(limits, kLimitNumbers, aLimits));
  return ReadDurations(limits, kLimitDurations, aLimits);
}

result<void>
ReadTiming(const yaml_mapping& aRoot, timing_settings& aTiming)
{
  std::vector<std::string_view> names;
  AppendNames(kTimingDurations, names);
  BOOST_OUTCOME_TRY(const yaml_mapping timing, aRoot.Mapping("timing", names));
  return ReadDurations(timing, kTimingDurations, aTiming);
}

result<void>
ReadIdentity(const yaml_mapping& aRoot, daemon_settings& aSettings)
{
  BOOST_OUTCOME_TRY(aSettings.mName, aRoot.Text("name"));
  BOOST_OUTCOME_TRY(aSettings.mZone, aRoot.Text("zone"));
  BOOST_OUTCOME_TRY(aSettings.mPeers, ReadTexts(aRoot, "peers"));
  return boost::outcome_v2::success();
}

result<void>
ReadLogLevel(const yaml_mapping& aRoot, std::string& aLevel)
{
  const std::vector<std::string_view> levels{
    "debug", "decision", "info", "warning", "error"
  };
  BOOST_OUTCOME_TRY(const yaml_mapping log, aRoot.Mapping("log", { "level" }));
  BOOST_OUTCOME_TRY(const std::size_t level, log.Choice("level", levels, 1));
  aLevel = levels[level];
  return boost::outcome_v2::success();
}

} // namespace

result<daemon_settings>
ReadDaemonSettings(const std::string& aFile, const std::string& aText)
{
  BOOST_OUTCOME_TRY(const YAML::Node document,
                    LoadYaml(aFile, aText, error_kind::BadSettings));
  BOOST_OUTCOME_TRY(const yaml_mapping root,
                    yaml_mapping::FromNode(aFile,
                                           document,
                                           error_kind::BadSettings,
                                           { "name",
                                             "zone",
                                             "listen",
                                             "platform",
                                             "peers",
                                             "log",
                                             "limits",
                                             "timing" }));
  daemon_settings settings;
  BOOST_OUTCOME_TRY(ReadIdentity(root, settings));
  BOOST_OUTCOME_TRY(ReadListen(root, settings.mListen));
  BOOST_OUTCOME_TRY(ReadPlatform(root, settings));
  BOOST_OUTCOME_TRY(ReadLogLevel(root, settings.mLogLevel));
  BOOST_OUTCOME_TRY(ReadLimits(root, settings.mLimits));
  BOOST_OUTCOME_TRY(ReadTiming(root, settings.mTiming));
  return settings;
}

} // namespace catkinloom
