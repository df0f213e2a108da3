#include "clFakeJournal.h"

#include "clFakeJson.h"

#include <boost/json/serialize.hpp>

namespace catkinloom {

void
fake_journal::Open(const std::string& aFile,
                   fake_log& aLog,
                   term_number& aTerm,
                   std::string& aOwner)
{
  if (aFile.empty()) {
    return;
  }
  std::ifstream previous(aFile);
  for (std::string line; std::getline(previous, line);) {
    const boost::json::object object = ParseObject(line);
    if (object.contains("entry")) {
      aLog.Append(EntryFromJson(object.at("entry").as_object()));
    } else if (object.contains("truncate")) {
      aLog.Truncate(GetNumberField(object, "truncate"));
    } else if (object.contains("term")) {
      aTerm = GetNumberField(object, "term");
      aOwner = GetStringField(object, "owner");
    }
  }
  mFile.open(aFile, std::ios::app);
}

void
fake_journal::WriteTerm(term_number aTerm, const std::string& aOwner)
{
  WriteLine({ { "term", aTerm }, { "owner", aOwner } });
}

void
fake_journal::WriteEntry(const fake_log_entry& aEntry)
{
  WriteLine({ { "entry", EntryToJson(aEntry) } });
}

void
fake_journal::WriteTruncate(std::uint64_t aIndex)
{
  WriteLine({ { "truncate", aIndex } });
}

void
fake_journal::WriteLine(const boost::json::object& aObject)
{
  if (mFile.is_open()) {
    mFile << boost::json::serialize(aObject) << std::endl;
  }
}

} // namespace catkinloom
