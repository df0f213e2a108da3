#pragma once

#include "clHttpClient.h"
#include "clProxyState.h"

#include <optional>
#include <string>
#include <vector>

namespace catkinloom {

/// A value of the platform's key-value service.
struct platform_value
{
  std::string mText;
  /// Changes with every write; 0 if the key does not exist.
  std::uint64_t mRevision = 0;
};

/// One VM in the platform's list of VMs.
struct platform_vm
{
  std::string mName;
  bool mLeaving = false;
};

/// Result of a compare-and-swap for which a response was received.
enum class swap_outcome
{
  Swapped,
  Conflict,
};

/// HTTP client of the platform service. Each call can fail with
/// PlatformUnavailable, in which case a compare-and-swap may still have taken
/// effect. After a failed call, the next one uses the next platform address.
class platform_client
{
public:
  explicit platform_client(proxy_state& aState)
    : mState(aState)
  {
  }

  /// Returns the value of a key, with revision 0 if the key does not exist.
  result<platform_value> Get(const std::string& aKey);
  /// Writes aText if the key's revision is aExpected; 0 means that the key must
  /// not exist. Otherwise returns Conflict.
  result<swap_outcome> CompareAndSwap(const std::string& aKey,
                                      std::uint64_t aExpected,
                                      const std::string& aText);

  /// Waits until the key's revision exceeds aAfterRevision. Returns an empty
  /// value if that does not happen within aMaxWait. The platform watches all
  /// keys that begin with aKey, so no other key may have aKey as its prefix.
  result<std::optional<platform_value>> Watch(const std::string& aKey,
                                              std::uint64_t aAfterRevision,
                                              milliseconds aMaxWait);

  result<std::vector<platform_vm>> ListVms();

private:
  result<http_response> Call(const http_request& aRequest,
                             milliseconds aTimeout);

  proxy_state& mState;
  /// Number of failed calls; selects the address of the next call.
  std::size_t mAddressIndex = 0;
};

} // namespace catkinloom
