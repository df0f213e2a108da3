#pragma once

#include "clSessionContext.h"

#include <functional>
#include <string>

namespace catkinloom {

/// Follows every key under one prefix of the coordination store.
///
/// It lists the keys once and then watches; it lists anew when the store says
/// that it can't go on, and every now and then all the same.  While the store
/// is out it changes nothing.
class store_follower
{
public:
  /// Takes a complete listing.
  using list_handler = std::function<void(const store_listing&)>;
  /// Takes the changes since.
  using change_handler = std::function<void(const std::vector<store_event>&)>;
  /// Told after each call whether the store was reached, and the cause if not.
  using reach_handler = std::function<void(bool, std::string_view)>;

  store_follower(session_context& aContext,
                 std::string aPrefix,
                 list_handler aOnList,
                 change_handler aOnChange,
                 reach_handler aOnReach);

  /// Follows until the process ends; runs in a fiber.
  void Run();

  /// A complete listing was taken.
  bool HasListed() const { return mHasListed; }

private:
  bool List();
  bool Watch();

  session_context& mContext;
  std::string mPrefix;
  list_handler mOnList;
  change_handler mOnChange;
  reach_handler mOnReach;
  store_revision mWatchFrom = 0;
  time_point mListedAt;
  bool mHasListed = false;
};

} // namespace catkinloom
