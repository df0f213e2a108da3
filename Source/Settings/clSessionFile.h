#pragma once

#include "clClock.h"
#include "clError.h"

#include <string>

namespace catkinloom {

/// What a session proxy is told at its start.
struct session_file
{
  std::string mName;
  std::string mZone;
  /// Each as IP:port.
  std::string mCallers;
  std::string mReady;
  std::string mMetrics;
  /// The coordination store.
  std::string mStore;
  /// Where promotions are ordered; empty when none can be.
  std::string mPromotions;
  std::string mLogLevel = "decision";
};

/// Reads a session proxy's settings file.  Errors: BadSettings with file and
/// line.
result<session_file>
ReadSessionFile(const std::string& aFile, const std::string& aText);

} // namespace catkinloom
