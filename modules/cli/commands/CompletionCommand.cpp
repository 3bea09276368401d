#include <cli/commands/CompletionCommand.h>

#include <CLI/CLI.hpp>
#include <string>

namespace Greengage {

namespace {

/// Appends a case branch with the words that may follow a command, and recursively those of its subcommands.
void appendCaseBranches(const CLI::App& app, const std::string& path, std::string& script)
{
    std::string words;
    for (const auto* command : app.get_subcommands({}))
        words += command->get_name() + " ";
    for (const auto* option : app.get_options()) {
        for (const auto& name : option->get_lnames())
            words += "--" + name + " ";
    }
    script += "    \"" + path + "\") words=\"" + words + "\" ;;\n";
    for (const auto* command : app.get_subcommands({}))
        appendCaseBranches(*command, path + " " + command->get_name(), script);
}

} // namespace

CompletionCommand::CompletionCommand(CLI::App& root)
    : root(&root)
{
}

CLI::App* CompletionCommand::declare(CLI::App& parent)
{
    auto* command = parent.add_subcommand("completion", "Print a bash completion script for commands and options");
    command->footer("Example: source <(greengagectl completion)");
    return command;
}

Result<ExitCode, CommandError> CompletionCommand::run(CommandContext& context)
{
    std::string script = "_greengagectl() {\n  local path=greengagectl words= word\n"
                         "  for word in \"${COMP_WORDS[@]:1:COMP_CWORD-1}\"; do\n"
                         "    case \"$word\" in [a-z]*) path=\"$path $word\" ;; esac\n  done\n  case \"$path\" in\n";
    appendCaseBranches(*this->root, "greengagectl", script);
    script += "    *) words= ;;\n  esac\n"
              "  COMPREPLY=($(compgen -W \"$words\" -- \"${COMP_WORDS[COMP_CWORD]}\"))\n"
              "  [ ${#COMPREPLY[@]} -gt 0 ] || COMPREPLY=($(compgen -f -- \"${COMP_WORDS[COMP_CWORD]}\"))\n}\n"
              "complete -F _greengagectl greengagectl\n";
    context.out << script;
    return ExitCode::Done;
}

} // namespace Greengage
