#pragma once

#include "clError.h"
#include "clManifest.h"

#include <string>

namespace catkinloom {

/// Parses and validates a manifest.  aFile is used in error messages only.
/// Errors: BadManifest with file, line, column and the allowed values.
result<manifest>
ReadManifest(const std::string& aFile, const std::string& aText);

/// Rejects a change that adds or removes more than one instance of a group.
/// A changed address counts as a removal and an addition.
/// With single-instance changes every majority of the old group overlaps every
/// majority of the new one, so two disjoint majorities cannot form.
/// Errors: BadManifest.
result<void>
CheckManifestStep(const manifest& aOld, const manifest& aNew);

} // namespace catkinloom
