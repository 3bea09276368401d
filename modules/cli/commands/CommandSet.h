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

/// A command declares its options below a parent and runs once they are parsed.
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

    /// Runs the command that the parsed arguments name.
    Result<ExitCode, CommandError> runChosen(CommandContext& context) const
    {
        for (const auto& entry : this->entries) {
            if (entry.declared->parsed())
                return entry.run(context);
        }
        return CommandError { ExitCode::Usage, "no command; --help lists them", {} };
    }

private:
    struct Entry {
        CLI::App* declared;
        std::function<Result<ExitCode, CommandError>(CommandContext&)> run;
    };

    std::vector<Entry> entries;
};

} // namespace Greengage
