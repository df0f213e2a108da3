#pragma once

#include "clClock.h"
#include "clError.h"

#include <cstdint>
#include <string>
#include <vector>

namespace catkinloom {

/// Listen addresses of the daemon, each as IP:port.
struct listen_settings
{
  std::string mCallers;
  std::string mOperators;
  std::string mPeers;
};

/// Limits on requests, retries and shutdown.
struct limit_settings
{
  /// Largest header and body of a caller's request.
  std::uint32_t mHeaderBytes = 8192;
  std::uint32_t mBodyBytes = 65536;
  /// Upper bound of retries, in percent of requests.
  std::uint32_t mRetryPercent = 10;
  milliseconds mReadTimeout{ 5000 };
  milliseconds mDefaultDeadline{ 3000 };
  milliseconds mMaxDeadline{ 30000 };
  milliseconds mDrainTimeout{ 20000 };
  /// Delay between the start of a drain, when the health endpoint starts to
  /// fail, and the end of accepting callers.  Gives the load balancer time to
  /// remove this VM.
  milliseconds mDrainNotice{ 500 };
};

/// Intervals and time-outs of health checks, connections and requests.
struct timing_settings
{
  /// Interval at which the promotion of each group is advanced.
  milliseconds mTickInterval{ 50 };
  milliseconds mProbeInterval{ 200 };
  milliseconds mProbeTimeout{ 250 };
  milliseconds mConnectTimeout{ 500 };
  /// Time limit of one attempt to run a request on an instance.
  milliseconds mAttemptTimeout{ 1000 };
  /// Time without contact to the primary after which a replica counts as having
  /// lost it.
  milliseconds mPrimaryContactTimeout{ 300 };
  /// Time for which a majority's confirmation of a term is valid.
  milliseconds mTermLease{ 250 };
  /// Time that a read waits for the group to reach the term of its session.
  milliseconds mSessionWaitTimeout{ 500 };
  /// A pooled connection that was not verified for this time is reset before
  /// its next use.
  milliseconds mIdleCheckInterval{ 2000 };
  milliseconds mHeartbeatInterval{ 250 };
  /// Time after which an unresponsive peer no longer counts as live.
  milliseconds mPeerTimeout{ 1500 };
  milliseconds mVmListInterval{ 1000 };
};

/// Contents of a daemon's settings file.
struct daemon_settings
{
  std::string mName;
  std::string mZone;
  listen_settings mListen;
  /// Addresses of the platform service as IP:port, tried in order.
  std::vector<std::string> mPlatformAddresses;
  milliseconds mPlatformTimeout{ 1000 };
  /// Peer addresses of other daemons, used to contact them before a manifest
  /// is loaded.
  std::vector<std::string> mPeers;
  std::string mLogLevel = "decision";
  limit_settings mLimits;
  timing_settings mTiming;
};

/// Parses the text of a settings file.  aFile is used in error messages only.
/// Errors: BadSettings with file, line and column.
result<daemon_settings>
ReadDaemonSettings(const std::string& aFile, const std::string& aText);

} // namespace catkinloom
