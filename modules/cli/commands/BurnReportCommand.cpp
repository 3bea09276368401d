#include <cli/commands/BurnReportCommand.h>

#include <cli/commands/CommandSupport.h>
#include <metrics/burn/BurnCodec.h>
#include <metrics/burn/BurnReport.h>

#include <CLI/CLI.hpp>
#include <spdlog/fmt/fmt.h>

namespace Greengage {

CLI::App* BurnReportCommand::declare(CLI::App& parent)
{
    auto* command = parent.add_subcommand("burn",
        "Report how fast each service and team burns its error budget, over short and long windows, summed over the "
        "daemons "
        "that are named by --daemon");
    command->add_option("--html", this->htmlFile, "Also write a page with a chart into this file");
    command->footer("Example: greengagectl report burn --html burn.html");
    return command;
}

Result<ExitCode, CommandError> BurnReportCommand::run(CommandContext& context)
{
    BOOST_OUTCOME_TRY(client, CommandSupport::connect(context));
    BurnReport report;
    std::size_t answered = 0;
    for (const auto& daemon : client->daemons()) {
        auto answer = client->getFrom(daemon, "/v1/burn");
        if (answer.has_error() && answer.error().code == AdminErrorCode::NotAuthorised)
            return toCommandError(answer.error());
        if (answer.has_error()) {
            context.err << "left out: " << answer.error().detail << "\n";
            continue;
        }
        auto rows = decodeBurnRows(answer.value().body);
        if (rows.has_error()) {
            return CommandError { ExitCode::Refused,
                fmt::format("{}:{}: {}", daemon.address, daemon.port, rows.error().detail), {} };
        }
        report.add(rows.value());
        ++answered;
    }
    if (answered == 0)
        return CommandError { ExitCode::NotAccepted, "no daemon gave its figures", {} };
    if (!this->htmlFile.empty()) {
        auto written = CommandSupport::writeFile(this->htmlFile, report.html());
        if (written.has_error())
            return written.error();
    }
    if (context.options.json)
        context.out << encodeBurnRows(report.rows()) << "\n";
    else
        context.out << fmt::format("from {} of {} daemons\n", answered, client->daemons().size()) << report.text();
    return ExitCode::Done;
}

} // namespace Greengage
