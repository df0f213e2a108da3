#pragma once

#include "clFakeLog.h"

#include <fstream>
#include <string>

namespace catkinloom {

/// The disk of a stand-in instance: databases keep their log and their term
/// when they restart.  One JSON object a line, replayed at the start.
class fake_journal
{
public:
  /// Replays aFile into the log and the term, then appends to it.  An empty
  /// name keeps nothing.
  void Open(const std::string& aFile,
            fake_log& aLog,
            term_number& aTerm,
            std::string& aOwner);

  void WriteTerm(term_number aTerm, const std::string& aOwner);
  void WriteEntry(const fake_log_entry& aEntry);
  void WriteTruncate(std::uint64_t aIndex);

private:
  void WriteLine(const boost::json::object& aObject);

  std::ofstream mFile;
};

} // namespace catkinloom
