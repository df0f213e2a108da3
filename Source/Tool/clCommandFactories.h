#pragma once

#include "clCommand.h"

#include <memory>

namespace catkinloom {

std::unique_ptr<tool_command>
MakeManifestCheckCommand();
std::unique_ptr<tool_command>
MakeManifestSubmitCommand();
std::unique_ptr<tool_command>
MakeManifestStatusCommand();
std::unique_ptr<tool_command>
MakeGroupsCommand();
std::unique_ptr<tool_command>
MakeStatusCommand();
std::unique_ptr<tool_command>
MakeExplainCommand();
std::unique_ptr<tool_command>
MakeRequestCommand();
std::unique_ptr<tool_command>
MakeDrainCommand();

} // namespace catkinloom
