#pragma once

#include "clError.h"

namespace catkinloom {

/// What is known about a request that other proxies were asked to serve, none
/// of which has responded yet.
class forward_progress
{
public:
  /// aIsRepeatable: running the request twice does no harm.
  explicit forward_progress(bool aIsRepeatable)
    : mIsRepeatable(aIsRepeatable)
  {
  }

  /// A proxy did not respond; UpstreamUnreachable means that it never received
  /// the request.
  void RecordFailure(error_kind aKind)
  {
    mMayHaveRun = mMayHaveRun || aKind != error_kind::UpstreamUnreachable;
  }

  /// The request may be sent to another proxy.
  bool MayContinue() const { return mIsRepeatable || !mMayHaveRun; }

  request_outcome Outcome() const
  {
    return mMayHaveRun ? request_outcome::Unknown : request_outcome::NotRun;
  }

private:
  bool mIsRepeatable;
  bool mMayHaveRun = false;
};

} // namespace catkinloom
