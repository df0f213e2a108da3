#pragma once

#include "clFakeLog.h"

#include <fstream>
#include <string>

namespace catkinloom {

/// Persistent storage of a simulated instance: its log and term survive a
/// restart.  The file holds one JSON object per line.
class fake_journal
{
public:
  /// Replays aFile into the log, the term and its owner, then opens it for
  /// appending.  With an empty name nothing is stored.
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
