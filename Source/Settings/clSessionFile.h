#pragma once

#include "clClock.h"
#include "clError.h"

#include <string>
#include <vector>

namespace catkinloom {

/// Times that the installation promises or asks for.
struct installation_bounds
{
  /// From the signal to end until the process is killed.
  milliseconds mTerminationGracePeriod{ 6000 };
  /// From a change of the desired state until it is in force.
  milliseconds mMaxChangePropagation{ 3000 };
};

/// What a session proxy is told at its start.
struct session_file
{
  std::string mName;
  std::string mZone;
  /// Each as IP:port.
  std::string mCallerAddress;
  std::string mReadyAddress;
  std::string mMetricsAddress;
  /// The coordination store.
  std::string mStoreAddress;
  /// Where promotions are ordered; empty when none can be.
  std::string mPromotionAddress;
  /// The platform refuses a promotion whose token is older than another's.
  bool mFencedPromotions = true;
  installation_bounds mBounds;
  /// Values that could not be used and what is used instead.
  std::vector<std::string> mWarnings;
  std::string mLogLevel = "decision";
};

/// Reads a session proxy's settings file.  Errors: BadSettings with file and
/// line.
result<session_file>
ReadSessionFile(const std::string& aFile, const std::string& aText);

} // namespace catkinloom
