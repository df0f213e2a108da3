#pragma once

#include "clLogPosition.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace catkinloom {

/// One transaction in the replicated log of a database group.
struct fake_log_entry
{
  term_number mTerm = 0;
  /// Key and value of each write, in order.
  std::vector<std::pair<std::string, std::string>> mPuts;
  std::string mIdempotencyKey;
  std::string mAnswer;
};

/// The log of an instance and the key-value data that results from it.
class fake_log
{
public:
  log_position End() const;
  term_number TermAt(std::uint64_t aIndex) const;
  void Append(fake_log_entry aEntry);
  /// Removes every entry after aIndex and rebuilds the data.
  void Truncate(std::uint64_t aIndex);

  const std::vector<fake_log_entry>& Entries() const { return mEntries; }
  std::optional<std::string> Value(const std::string& aKey) const;
  boost::json::array List(const std::string& aPrefix) const;
  /// Index of the entry that was committed with an idempotency key.
  std::optional<std::uint64_t> FindIdempotencyKey(
    const std::string& aKey) const;

private:
  void ApplyEntry(std::uint64_t aIndex);

  std::vector<fake_log_entry> mEntries;
  std::map<std::string, std::string> mData;
  std::map<std::string, std::uint64_t> mIndexByIdempotencyKey;
};

boost::json::object
EntryToJson(const fake_log_entry& aEntry);
fake_log_entry
EntryFromJson(const boost::json::object& aObject);

} // namespace catkinloom
