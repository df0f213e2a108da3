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
  /// Changes with every write; zero stands for an absent key.
  std::uint64_t mRevision = 0;
};

/// One VM in the platform's list.
struct platform_vm
{
  std::string mName;
  bool mLeaving = false;
};

/// What became of a compare-and-swap whose answer did arrive.
enum class swap_outcome
{
  Swapped,
  Conflict,
};

/// Calls of the platform's service.  Every call may fail with
/// PlatformUnavailable; a compare-and-swap may then have taken effect.
class platform_client
{
public:
  explicit platform_client(proxy_state& aState)
    : mState(aState)
  {
  }

  result<platform_value> Get(const std::string& aKey);
  result<swap_outcome> CompareAndSwap(const std::string& aKey,
                                      std::uint64_t aExpected,
                                      const std::string& aText);
  /// Waits until the key's revision passes aAfterRevision, or aMaxWait has
  /// passed; the value is empty in the second case.
  result<std::optional<platform_value>> Watch(const std::string& aKey,
                                              std::uint64_t aAfterRevision,
                                              milliseconds aMaxWait);
  result<std::vector<platform_vm>> ListVms();

private:
  result<http_response> Call(const http_request& aRequest,
                             milliseconds aTimeout);

  proxy_state& mState;
  std::size_t mAddressIndex = 0;
};

} // namespace catkinloom
