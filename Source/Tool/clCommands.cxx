#include "clCommand.h"
#include "clCommandFactories.h"

namespace catkinloom {

namespace {

std::vector<std::unique_ptr<tool_command>>
MakeCommands()
{
  std::vector<std::unique_ptr<tool_command>> commands;
  commands.push_back(MakeManifestCheckCommand());
  commands.push_back(MakeManifestSubmitCommand());
  commands.push_back(MakeManifestStatusCommand());
  commands.push_back(MakeGroupsCommand());
  commands.push_back(MakeStatusCommand());
  commands.push_back(MakeExplainCommand());
  commands.push_back(MakeRequestCommand());
  commands.push_back(MakeDrainCommand());
  return commands;
}

} // namespace

const std::vector<std::unique_ptr<tool_command>>&
ToolCommands()
{
  static const auto kCommands = MakeCommands();
  return kCommands;
}

} // namespace catkinloom
