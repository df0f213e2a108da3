#pragma once

#include "clClock.h"
#include "clError.h"

#include <string>
#include <vector>

namespace catkinloom {

/// Time limits of the installation that the proxy adapts to.
struct installation_bounds
{
  /// Time between the termination signal and the kill of the process.
  milliseconds mTerminationGracePeriod{ 6000 };
  /// Maximum time until a change of the desired state takes effect.
  milliseconds mMaxChangePropagation{ 3000 };
};

/// Contents of a session proxy's settings file.
struct session_file
{
  std::string mName;
  std::string mZone;
  /// Listen addresses, each as IP:port.
  std::string mCallerAddress;
  std::string mReadyAddress;
  std::string mMetricsAddress;
  /// Address of the coordination store.
  std::string mStoreAddress;
  /// Address of the promotion API; empty if none is available.
  std::string mPromotionAddress;
  /// The promotion API checks fencing tokens: it rejects a promotion with an
  /// older token than one that it has received.
  bool mFencedPromotions = true;
  installation_bounds mBounds;
  /// One message for each invalid value that was replaced by its default.
  std::vector<std::string> mWarnings;
  /// Name of a log level; ReadSessionFile does not check it.
  std::string mLogLevel = "decision";
};

/// Parses the text of a session proxy's settings file.  aFile is used in error
/// messages only.  Errors: BadSettings with file, line and column.
result<session_file>
ReadSessionFile(const std::string& aFile, const std::string& aText);

} // namespace catkinloom
