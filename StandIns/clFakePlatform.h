#pragma once

#include "clEventLoop.h"
#include "clHttpServer.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace catkinloom {

/// Simulates the platform's key-value service and its list of VMs.
///
/// Requests: GET /kv?key=K, POST /kv/cas {key, expected, value, lease},
/// GET /kv/watch?prefix=P&after=R&wait_ms=N, POST /lease {ttl_ms},
/// POST /lease/keep {id}, GET /vms.  POST /admin sets the faults and
/// returns the request counts.
class fake_platform
{
public:
  explicit fake_platform(event_loop& aLoop);

  result<void> Listen(const std::string& aAddress);
  http_response Handle(const http_request& aRequest);

private:
  struct kv_entry
  {
    std::string mValue;
    std::uint64_t mRevision = 0;
    /// The entry is removed when this lease expires; 0 for none.
    std::uint64_t mLease = 0;
  };

  /// A list of VMs and the time from which it is returned.
  struct vm_state
  {
    boost::json::array mVms;
    time_point mVisibleAt;
  };

  http_response Get(const std::string& aKey);
  http_response CompareAndSwap(const boost::json::object& aBody);
  http_response Watch(const std::string& aPrefix,
                      std::uint64_t aAfter,
                      milliseconds aWait);
  http_response Lease(const std::string& aPath,
                      const boost::json::object& aBody);
  http_response ListVms();
  http_response Admin(const boost::json::object& aBody);
  void RemoveExpiredLeases();
  boost::json::array ChangesAfter(const std::string& aPrefix,
                                  std::uint64_t aAfter) const;

  event_loop& mLoop;
  http_server mServer;
  std::map<std::string, kv_entry> mEntries;
  /// Duration and expiry of each lease.
  std::map<std::uint64_t, std::pair<milliseconds, time_point>> mLeases;
  std::vector<std::shared_ptr<fiber_wait>> mWatchers;
  std::vector<vm_state> mVmHistory;
  std::uint64_t mRevision = 0;
  std::uint64_t mNextLease = 1;
  std::uint64_t mReads = 0;
  std::uint64_t mWrites = 0;
  milliseconds mResponseDelay{ 0 };
  milliseconds mVmListLag{ 0 };
  /// Number of further compare-and-swap requests that get no response.
  std::uint64_t mResponsesToDrop = 0;
  bool mOutage = false;
  bool mSendsMalformed = false;
};

} // namespace catkinloom
