#include "clDaemonSettings.h"

#include <doctest/doctest.h>

using namespace catkinloom;

namespace {

const std::string kValidSettings =
  "name: proxy-1\n"
  "zone: tanta\n"
  "listen:\n"
  "  callers: 127.0.0.1:7101\n"
  "  operators: 127.0.0.1:7201\n"
  "  peers: 127.0.0.1:7301\n"
  "platform: {addresses: ['127.0.0.1:7000']}\n";

std::string
ErrorDetailOf(const std::string& aText)
{
  const auto settings = ReadDaemonSettings("s.yaml", aText);
  REQUIRE_FALSE(settings.has_value());
  CHECK(settings.error().mKind == error_kind::BadSettings);
  return settings.error().mDetail;
}

} // namespace

TEST_CASE("settings_valid_file_uses_defaults_for_absent_keys")
{
  const auto settings = ReadDaemonSettings(
    "s.yaml",
    kValidSettings + "timing: {probe_interval: 1s}\nlog: {level: info}\n");
  REQUIRE(settings.has_value());
  CHECK(settings.value().mName == "proxy-1");
  CHECK(settings.value().mTiming.mProbeInterval == milliseconds(1000));
  CHECK(settings.value().mTiming.mTickInterval == milliseconds(50));
  CHECK(settings.value().mLogLevel == "info");
}

TEST_CASE("settings_unknown_key_reports_position_and_suggestion")
{
  CHECK(ErrorDetailOf(kValidSettings + "timing: {probe_intervall: 1s}\n") ==
        "s.yaml:8:10: Unknown key 'probe_intervall'. Did you mean "
        "'probe_interval'? Allowed: tick, probe_interval, probe_timeout, "
        "connect_timeout, attempt_timeout, primary_silence, term_permit, "
        "session_wait, idle_check, heartbeat, peer_timeout, "
        "vm_list_interval.");
}

TEST_CASE("settings_missing_key_is_rejected")
{
  CHECK(ErrorDetailOf("name: x\nzone: y\n").find("'callers' is missing") !=
        std::string::npos);
}

TEST_CASE("settings_duplicate_key_is_rejected_at_second_occurrence")
{
  CHECK(ErrorDetailOf(kValidSettings + "zone: banha\n") ==
        "s.yaml:8:1: Key 'zone' stands twice. Keep one.");
}

TEST_CASE("settings_value_out_of_range_reports_allowed_range")
{
  CHECK(ErrorDetailOf(kValidSettings + "limits: {body_bytes: 5}\n") ==
        "s.yaml:8:22: 'body_bytes' is '5'. Allowed: whole numbers from 1024 "
        "to 16777216.");
  CHECK(ErrorDetailOf(kValidSettings + "timing: {tick: 5}\n") ==
        "s.yaml:8:16: 'tick' is '5'. Allowed: 10ms to 1000ms, written like "
        "250ms, 2s or 5m.");
}

TEST_CASE("settings_invalid_yaml_reports_position")
{
  CHECK(ErrorDetailOf("name: [\n").starts_with("s.yaml:"));
}

TEST_CASE("settings_unknown_log_level_reports_suggestion")
{
  CHECK(ErrorDetailOf(kValidSettings + "log: {level: decisions}\n")
          .find("Did you mean 'decision'?") != std::string::npos);
}
