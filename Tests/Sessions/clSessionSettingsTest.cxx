#include "clSessionSettings.h"

#include <doctest/doctest.h>

using namespace catkinloom;

namespace {

/// Reads settings files of a session proxy that differ in their bounds.
struct session_settings_fixture
{
  session_file Read(const std::string& aRest) const
  {
    const auto file = ReadSessionFile(
      "settings.yaml",
      "name: p\nzone: a\nlisten: {callers: 1.1.1.1:1, ready: 1.1.1.1:2, "
      "metrics: 1.1.1.1:3}\nstore: {address: 1.1.1.1:4}\n" +
        aRest);
    REQUIRE(file);
    return file.value();
  }

  session_settings SettingsOf(const std::string& aRest) const
  {
    const session_file file = Read(aRest);
    return SettingsFor(file.mBounds, file.mFencedPromotions);
  }
};

} // namespace

TEST_CASE_FIXTURE(session_settings_fixture,
                  "session_settings_with_any_grace_drain_within_it")
{
  for (const char* grace : { "3s", "6s", "12s" }) {
    const auto text = "bounds: {grace: " + std::string(grace) + "}\n";
    const session_settings settings = SettingsOf(text);
    const milliseconds bound = Read(text).mBounds.mTerminationGracePeriod;
    CHECK(settings.mDrainTimeout < bound);
    CHECK(settings.mDrainStatementTimeout < settings.mDrainTimeout);
    CHECK(settings.mDrainTransactionTimeout <= settings.mDrainStatementTimeout);
    CHECK(settings.mDrainTransactionTimeout <= bound / 2);
    CHECK(settings.mDrainAcceptTime <= settings.mDrainTimeout);
    CHECK(settings.mDrainNotice <= settings.mDrainAcceptTime);
  }
}

TEST_CASE_FIXTURE(session_settings_fixture,
                  "session_settings_with_short_change_bound_retry_sooner")
{
  const session_settings settings =
    SettingsOf("bounds: {change_in_force: 1.5s}\n");
  CHECK(settings.mStoreSlowRetryDelay == milliseconds(300));
  CHECK(SettingsOf("bounds:\n").mStoreSlowRetryDelay == milliseconds(600));
}

TEST_CASE_FIXTURE(session_settings_fixture,
                  "session_settings_desired_watch_ends_within_change_bound")
{
  for (const char* bound : { "1500ms", "3s", "5s", "60s" }) {
    const auto text = "bounds: {change_in_force: " + std::string(bound) + "}\n";
    const session_settings settings = SettingsOf(text);
    // A watch without a response is followed by a delay and a listing.
    CHECK(settings.mDesiredWatchTimeout + settings.mStoreRetryDelay +
            settings.mStoreTimeout <
          Read(text).mBounds.mMaxChangePropagation);
    CHECK(settings.mDesiredWatchTimeout <= settings.mWatchTimeout);
  }
}

TEST_CASE_FIXTURE(session_settings_fixture,
                  "session_settings_with_invalid_bounds_warn_and_use_defaults")
{
  for (const char* bad : { "0s", "-3s", "nans", "1e99s", "true", "[1]", "~" }) {
    const session_file file =
      Read("bounds: {grace: " + std::string(bad) + "}\n");
    CHECK(file.mBounds.mTerminationGracePeriod == milliseconds(6000));
    CHECK(file.mWarnings.size() == 1);
  }
}

TEST_CASE_FIXTURE(session_settings_fixture,
                  "session_settings_without_fencing_report_unfenced_promotions")
{
  CHECK(SettingsOf("").mFencedPromotions);
  CHECK_FALSE(SettingsOf("promotions: {fenced: false}\n").mFencedPromotions);
}
