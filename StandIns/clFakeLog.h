#pragma once

#include "clLogPosition.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace catkinloom {

/// One committed transaction in a database group's log.
struct fake_log_entry
{
  term_number mTerm = 0;
  /// Key and value of each write.
  std::vector<std::pair<std::string, std::string>> mPuts;
  std::string mIdempotencyKey;
  std::string mAnswer;
};

/// A database's log and the data that follows from it.
class fake_log
{
public:
  log_position End() const;
  term_number TermAt(std::uint64_t aIndex) const;
  void Append(fake_log_entry aEntry);
  /// Drops every entry after aIndex.
  void Truncate(std::uint64_t aIndex);

  const std::vector<fake_log_entry>& Entries() const { return mEntries; }
  std::optional<std::string> Value(const std::string& aKey) const;
  boost::json::array List(const std::string& aPrefix) const;
  /// Index of the entry that ran under an idempotency key.
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
