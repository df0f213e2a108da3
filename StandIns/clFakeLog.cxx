#include "clFakeLog.h"

#include "clFakeJson.h"

namespace catkinloom {

log_position
fake_log::End() const
{
  return { TermAt(mEntries.size()), mEntries.size() };
}

term_number
fake_log::TermAt(std::uint64_t aIndex) const
{
  if (aIndex == 0 || aIndex > mEntries.size()) {
    return 0;
  }
  return mEntries[aIndex - 1].mTerm;
}

void
fake_log::Append(fake_log_entry aEntry)
{
  mEntries.push_back(std::move(aEntry));
  ApplyEntry(mEntries.size());
}

void
fake_log::Truncate(std::uint64_t aIndex)
{
  if (aIndex >= mEntries.size()) {
    return;
  }
  mEntries.resize(aIndex);
  mData.clear();
  mIndexByIdempotencyKey.clear();
  for (std::uint64_t index = 1; index <= mEntries.size(); ++index) {
    ApplyEntry(index);
  }
}

void
fake_log::ApplyEntry(std::uint64_t aIndex)
{
  const fake_log_entry& entry = mEntries[aIndex - 1];
  for (const auto& [key, value] : entry.mPuts) {
    mData[key] = value;
  }
  if (!entry.mIdempotencyKey.empty()) {
    mIndexByIdempotencyKey[entry.mIdempotencyKey] = aIndex;
  }
}

std::optional<std::string>
fake_log::Value(const std::string& aKey) const
{
  const auto found = mData.find(aKey);
  return found == mData.end() ? std::nullopt
                              : std::optional<std::string>(found->second);
}

boost::json::array
fake_log::List(const std::string& aPrefix) const
{
  boost::json::array rows;
  for (auto row = mData.lower_bound(aPrefix);
       row != mData.end() && row->first.starts_with(aPrefix);
       ++row) {
    rows.push_back({ { "key", row->first }, { "value", row->second } });
  }
  return rows;
}

std::optional<std::uint64_t>
fake_log::FindIdempotencyKey(const std::string& aKey) const
{
  const auto found = mIndexByIdempotencyKey.find(aKey);
  return found == mIndexByIdempotencyKey.end()
           ? std::nullopt
           : std::optional<std::uint64_t>(found->second);
}

boost::json::object
EntryToJson(const fake_log_entry& aEntry)
{
  boost::json::array puts;
  for (const auto& [key, value] : aEntry.mPuts) {
    puts.push_back({ { "key", key }, { "value", value } });
  }
  return { { "term", aEntry.mTerm },
           { "puts", puts },
           { "idempotency_key", aEntry.mIdempotencyKey },
           { "answer", aEntry.mAnswer } };
}

fake_log_entry
EntryFromJson(const boost::json::object& aObject)
{
  fake_log_entry entry;
  entry.mTerm = GetNumberField(aObject, "term");
  entry.mIdempotencyKey = GetStringField(aObject, "idempotency_key");
  entry.mAnswer = GetStringField(aObject, "answer");
  for (const auto& put : aObject.at("puts").as_array()) {
    entry.mPuts.emplace_back(GetStringField(put.as_object(), "key"),
                             GetStringField(put.as_object(), "value"));
  }
  return entry;
}

} // namespace catkinloom
