#pragma once

#include "clClock.h"
#include "clManifest.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloom {

/// Another proxy, and what it last said.
struct peer_row
{
  manifest_proxy mDeclared;
  std::optional<time_point> mHeardAt;
  std::uint64_t mManifestVersion = 0;
  bool mDraining = false;
};

/// The other proxies of the manifest, and the ones the settings name.
class peer_table
{
public:
  peer_table(std::string aSelf, milliseconds aTimeout)
    : mSelf(std::move(aSelf))
    , mTimeout(aTimeout)
  {
  }

  /// Takes over the declared proxies; this one is left out.
  void Apply(const std::vector<manifest_proxy>& aProxies);

  /// Adds addresses that the settings name, until a manifest declares them.
  void AddSeeds(const std::vector<std::string>& aAddresses);

  /// Records that a peer answered or called.
  void Hear(std::string_view aName,
            std::uint64_t aManifestVersion,
            bool aDraining,
            time_point aNow);

  const std::vector<peer_row>& Rows() const { return mRows; }
  const std::string& Self() const { return mSelf; }

  bool IsLive(const peer_row& aRow, time_point aNow) const;

  /// Names of live proxies that take work, this one included.
  std::vector<std::string_view> LiveNames(time_point aNow) const;

private:
  std::string mSelf;
  milliseconds mTimeout;
  std::vector<peer_row> mRows;
};

} // namespace catkinloom
