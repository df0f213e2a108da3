#pragma once

#include "clClock.h"
#include "clError.h"

#include <cstdint>
#include <string>
#include <vector>

namespace catkinloom {

/// Where the daemon listens, each as IP:port.
struct listen_settings
{
  std::string mCallers;
  std::string mOperators;
  std::string mPeers;
};

/// What one caller, request or shutdown may cost.
struct limit_settings
{
  std::uint32_t mHeaderBytes = 8192;
  std::uint32_t mBodyBytes = 65536;
  /// Percent of requests that may be sent a second time.
  std::uint32_t mRetryPercent = 10;
  milliseconds mReadTimeout{ 5000 };
  milliseconds mDefaultDeadline{ 3000 };
  milliseconds mMaxDeadline{ 30000 };
  milliseconds mDrainTimeout{ 20000 };
  /// Time in which the balancer takes note that this VM is leaving.
  milliseconds mDrainNotice{ 500 };
};

/// Pace of the daemon's own decisions.
struct timing_settings
{
  milliseconds mTickInterval{ 50 };
  milliseconds mProbeInterval{ 200 };
  milliseconds mProbeTimeout{ 250 };
  milliseconds mConnectTimeout{ 500 };
  milliseconds mAttemptTimeout{ 1000 };
  milliseconds mPrimaryContactTimeout{ 300 };
  milliseconds mTermLease{ 250 };
  milliseconds mSessionWaitTimeout{ 500 };
  milliseconds mIdleCheckInterval{ 2000 };
  milliseconds mHeartbeatInterval{ 250 };
  milliseconds mPeerTimeout{ 1500 };
  milliseconds mVmListInterval{ 1000 };
};

/// Everything that one daemon is told at its start.
struct daemon_settings
{
  std::string mName;
  std::string mZone;
  listen_settings mListen;
  /// Addresses of the platform's service, tried in turn.
  std::vector<std::string> mPlatformAddresses;
  milliseconds mPlatformTimeout{ 1000 };
  /// Peer addresses of other daemons, known before any manifest is.
  std::vector<std::string> mPeers;
  std::string mLogLevel = "decision";
  limit_settings mLimits;
  timing_settings mTiming;
};

/// Reads a settings file's text.  Errors: BadSettings with file and line.
result<daemon_settings>
ReadDaemonSettings(const std::string& aFile, const std::string& aText);

} // namespace catkinloom
