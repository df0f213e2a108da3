#include "clPeerTable.h"

#include <algorithm>

namespace catkinloom {

namespace {

/// Number of peers that receive a message in each round.
constexpr std::size_t kFanOut = 8;

} // namespace

void
peer_table::Apply(const std::vector<manifest_proxy>& aProxies)
{
  std::vector<peer_row> rows;
  for (const manifest_proxy& proxy : aProxies) {
    if (proxy.mName == mSelf) {
      continue;
    }
    peer_row row;
    for (const peer_row& old : mRows) {
      if (old.mDeclared.mPeerAddress == proxy.mPeerAddress) {
        row = old;
      }
    }
    row.mDeclared = proxy;
    rows.push_back(std::move(row));
  }
  mRows = std::move(rows);
}

void
peer_table::AddSeeds(const std::vector<std::string>& aAddresses)
{
  for (const std::string& address : aAddresses) {
    peer_row row;
    row.mDeclared.mName = address;
    row.mDeclared.mPeerAddress = address;
    mRows.push_back(std::move(row));
  }
}

void
peer_table::RecordHeartbeat(std::string_view aName,
                            std::uint64_t aManifestVersion,
                            bool aDraining)
{
  for (peer_row& row : mRows) {
    if (row.mDeclared.mName == aName) {
      row.mUnresponsiveSince.reset();
      row.mManifestVersion = aManifestVersion;
      row.mDraining = aDraining;
    }
  }
}

void
peer_table::RecordMissedResponse(std::string_view aAddress, time_point aNow)
{
  for (peer_row& row : mRows) {
    if (row.mDeclared.mPeerAddress == aAddress && !row.mUnresponsiveSince) {
      row.mUnresponsiveSince = aNow;
    }
  }
}

std::vector<std::size_t>
peer_table::PickTargets(std::minstd_rand& aRandom) const
{
  std::vector<std::size_t> targets;
  if (mRows.size() <= kFanOut) {
    for (std::size_t i = 0; i < mRows.size(); ++i) {
      targets.push_back(i);
    }
    return targets;
  }
  while (targets.size() < kFanOut) {
    const std::size_t pick = aRandom() % mRows.size();
    if (std::find(targets.begin(), targets.end(), pick) == targets.end()) {
      targets.push_back(pick);
    }
  }
  return targets;
}

bool
peer_table::IsLive(const peer_row& aRow, time_point aNow) const
{
  return !aRow.mUnresponsiveSince || aNow - *aRow.mUnresponsiveSince < mTimeout;
}

std::vector<std::string_view>
peer_table::LiveNames(time_point aNow) const
{
  std::vector<std::string_view> names{ mSelf };
  for (const peer_row& row : mRows) {
    if (IsLive(row, aNow) && !row.mDraining) {
      names.push_back(row.mDeclared.mName);
    }
  }
  return names;
}

} // namespace catkinloom
