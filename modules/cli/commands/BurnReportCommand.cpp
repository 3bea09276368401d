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
        "Report the error budget burn rate of each service and team over short and long windows, summed over the "
        "daemons given by --daemon");
    command->add_option("--html", this->htmlFile, "Also write the report as an HTML page with a chart to this file");
    command->footer("Example: greengagectl report burn --html burn.html");
    return command;
}

Result<ExitCode, CommandError> BurnReportCommand::run(CommandContext& context)
{
    BOOST_OUTCOME_TRY(client, CommandSupport::createClient(context));
    BurnReport report;
    std::size_t daemonsAnswered = 0;
    for (const auto& daemon : client->daemons()) {
        auto answer = client->getFrom(daemon, "/v1/burn");
        if (answer.has_error() && answer.error().code == AdminErrorCode::NotAuthorised)
            return toCommandError(answer.error());
        if (answer.has_error()) {
            context.err << "daemon left out of the report: " << answer.error().detail << "\n";
            continue;
        }
        auto rows = decodeBurnRows(answer.value().body);
        if (rows.has_error()) {
            return CommandError { ExitCode::Refused,
                fmt::format("{}:{}: {}", daemon.address, daemon.port, rows.error().detail), {} };
        }
        report.add(rows.value());
        ++daemonsAnswered;
    }
    if (daemonsAnswered == 0)
        return CommandError { ExitCode::NotAccepted, "no daemon reported its burn rates", {} };
    if (!this->htmlFile.empty()) {
        auto written = CommandSupport::writeFile(this->htmlFile, report.html());
        if (written.has_error())
            return written.error();
    }
    if (context.options.json)
        context.out << encodeBurnRows(report.rows()) << "\n";
    else
        context.out << fmt::format("burn rates from {} of {} daemons\n", daemonsAnswered, client->daemons().size())
                    << report.text();
    return ExitCode::Done;
}

} // namespace Greengage
