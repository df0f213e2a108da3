#pragma once

#include "clClock.h"
#include "clManifest.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace catkinloom {

/// Another proxy, and what it last said.
struct peer_row
{
  manifest_proxy mDeclared;
  /// When the present run of unanswered messages began.
  std::optional<time_point> mUnresponsiveSince;
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
  void RecordHeartbeat(std::string_view aName,
                       std::uint64_t aManifestVersion,
                       bool aDraining);

  const std::vector<peer_row>& Rows() const { return mRows; }
  const std::string& Self() const { return mSelf; }

  /// Records that a message to a peer was not answered.
  void RecordMissedResponse(std::string_view aAddress, time_point aNow);

  /// False once a peer has left messages unanswered for the timeout.  A peer
  /// that was not asked yet counts as live: whoever needs it finds out.
  bool IsLive(const peer_row& aRow, time_point aNow) const;

  /// Rows of the peers that get the next message: all of them in a small
  /// fleet, and a random few in a large one, so that a node's messages do not
  /// grow with the fleet while news still reaches everyone in a few rounds.
  std::vector<std::size_t> PickTargets(std::minstd_rand& aRandom) const;

  /// Names of live proxies that take work, this one included.
  std::vector<std::string_view> LiveNames(time_point aNow) const;

private:
  std::string mSelf;
  milliseconds mTimeout;
  std::vector<peer_row> mRows;
};

} // namespace catkinloom
