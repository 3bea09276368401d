#pragma once

#include <cli/commands/CommandContext.h>
#include <cli/commands/CommandError.h>
#include <core/errors/Result.h>

#include <CLI/CLI.hpp>
#include <concepts>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace Greengage {

/// A type that declares a subcommand with its options below a parent, and runs it after parsing.
template <typename Type>
concept Command = requires(Type& command, CLI::App& parent, CommandContext& context)
{
    {
        command.declare(parent)
        } -> std::same_as<CLI::App*>;
    {
        command.run(context)
        } -> std::same_as<Result<ExitCode, CommandError>>;
};

/// The commands of greengagectl.
class CommandSet {
public:
    template <Command Type> void add(CLI::App& parent, Type command)
    {
        auto owned = std::make_shared<Type>(std::move(command));
        auto* declared = owned->declare(parent);
        this->entries.push_back({ declared, [owned](CommandContext& context) { return owned->run(context); } });
    }

    /// Runs the command selected by the parsed arguments.
    Result<ExitCode, CommandError> runSelected(CommandContext& context) const
    {
        for (const auto& entry : this->entries) {
            if (entry.declared->parsed())
                return entry.run(context);
        }
        return CommandError { ExitCode::Usage, "no command given; run with --help for a list of commands", {} };
    }

private:
    struct Entry {
        CLI::App* declared;
        std::function<Result<ExitCode, CommandError>(CommandContext&)> run;
    };

    std::vector<Entry> entries;
};

} // namespace Greengage
