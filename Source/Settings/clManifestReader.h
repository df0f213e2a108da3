#pragma once

#include "clError.h"
#include "clManifest.h"

#include <string>

namespace catkinloom {

/// Reads and checks an operators' manifest.  Errors: BadManifest with file,
/// line, column and what is allowed.
result<manifest>
ReadManifest(const std::string& aFile, const std::string& aText);

/// Refuses a step from one manifest to the next that could split a group's
/// majority: at most one instance of a group may change at a time.
/// Errors: BadManifest.
result<void>
CheckManifestStep(const manifest& aOld, const manifest& aNew);

} // namespace catkinloom
