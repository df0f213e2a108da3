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

/// Another proxy and its last reported state.
struct peer_row
{
  manifest_proxy mDeclared;
  /// Time of the first message in the current run of messages without a
  /// response; empty after a response.
  std::optional<time_point> mUnresponsiveSince;
  std::uint64_t mManifestVersion = 0;
  bool mDraining = false;
};

/// The other proxies of the manifest and the peers that the settings name.
class peer_table
{
public:
  peer_table(std::string aSelf, milliseconds aTimeout)
    : mSelf(std::move(aSelf))
    , mTimeout(aTimeout)
  {
  }

  /// Applies the declared proxies; this one is left out.
  void Apply(const std::vector<manifest_proxy>& aProxies);

  /// Adds the addresses from the settings, which are used until a manifest
  /// declares the proxies.
  void AddSeeds(const std::vector<std::string>& aAddresses);

  /// Records the state from a peer's response or heartbeat.
  void RecordHeartbeat(std::string_view aName,
                       std::uint64_t aManifestVersion,
                       bool aDraining);

  const std::vector<peer_row>& Rows() const { return mRows; }
  const std::string& Self() const { return mSelf; }

  /// Records that a peer did not respond to a message.
  void RecordMissedResponse(std::string_view aAddress, time_point aNow);

  /// False if a peer has not responded for the timeout. A peer that was not
  /// contacted yet counts as live; the first message to it shows whether it
  /// responds.
  bool IsLive(const peer_row& aRow, time_point aNow) const;

  /// Rows of the peers that receive the next message: all of them in a small
  /// fleet and a random few in a large one. The number of messages per proxy
  /// thus does not grow with the fleet, and an update still reaches every proxy
  /// in a few rounds.
  std::vector<std::size_t> PickTargets(std::minstd_rand& aRandom) const;

  /// Names of the live proxies that are not draining, including this one.
  std::vector<std::string_view> LiveNames(time_point aNow) const;

private:
  std::string mSelf;
  milliseconds mTimeout;
  std::vector<peer_row> mRows;
};

} // namespace catkinloom
