#include <cli/commands/CommandSupport.h>

#include <cli/admin/Submitter.h>
#include <cli/commands/WorkingCopy.h>
#include <config/acceptance/DocumentSubmission.h>
#include <config/admin/AdminCodec.h>
#include <config/document/DocumentParser.h>
#include <config/ini/IniLine.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <spdlog/fmt/fmt.h>

namespace Greengage::CommandSupport {

namespace {

CommandError usageError(std::string message) { return { ExitCode::Usage, std::move(message), {} }; }

std::string environmentVariable(const char* name)
{
    const auto* value = std::getenv(name);
    return value == nullptr ? std::string() : value;
}

std::optional<SocketAddress> parseAddress(const std::string& text)
{
    auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return std::nullopt;
    SocketAddress address { text.substr(0, colon), 0 };
    const auto* begin = text.data() + colon + 1;
    auto [end, error] = std::from_chars(begin, text.data() + text.size(), address.port);
    if (error != std::errc() || end != text.data() + text.size() || address.port == 0)
        return std::nullopt;
    return address;
}

Result<std::string, CommandError> readKey(const GlobalOptions& options)
{
    auto key = environmentVariable("GREENGAGE_KEY");
    if (!options.keyFile.empty()) {
        BOOST_OUTCOME_TRY(content, readFile(options.keyFile));
        key = trimWhitespace(content);
    }
    auto isPrintable = [](unsigned char character) { return character > ' ' && character < 0x7f; };
    if (key.empty() || !std::ranges::all_of(key, isPrintable))
        return usageError("no usable operators' key (missing, empty or not printable): put it into a file and give "
                          "--key-file FILE, or set GREENGAGE_KEY");
    return key;
}

} // namespace

Result<std::string, CommandError> readFile(const std::string& path)
{
    if (path == "-")
        return std::string(std::istreambuf_iterator<char>(std::cin), {});
    std::ifstream stream(path, std::ios::binary);
    std::string content(std::istreambuf_iterator<char>(stream), {});
    if (!stream.is_open() || stream.bad())
        return usageError(path + ": the file cannot be read");
    return content;
}

Result<void, CommandError> writeFile(const std::string& path, const std::string& content)
{
    std::ofstream stream(path, std::ios::binary);
    stream << content;
    stream.close();
    if (!stream)
        return usageError(path + ": the file cannot be written");
    return success();
}

std::optional<CommandError> findErrors(const WorkingCopy& copy, const std::string& file)
{
    auto parsed = DocumentParser().parse(copy.text);
    if (parsed.has_value())
        return std::nullopt;
    auto& errors = parsed.error();
    for (auto& error : errors.list) {
        // The revision line that `show` writes precedes the document in the file, but is not part of the parsed text.
        if (copy.hasRevisionLine && error.line > 0)
            ++error.line;
    }
    return CommandError { ExitCode::InvalidDocument, describeErrors(file, errors), AdminCodec::encodeErrors(errors) };
}

Result<std::unique_ptr<AdminClient>, CommandError> createClient(const CommandContext& context)
{
    std::vector<SocketAddress> daemons;
    for (const auto& text : context.options.daemons) {
        auto address = parseAddress(text);
        if (!address)
            return usageError(
                "--daemon " + text + ": expected an IP address and an admin port, such as 127.1.1.1:8081");
        daemons.push_back(std::move(*address));
    }
    if (daemons.empty())
        return usageError("no daemon given: use --daemon ADDRESS:PORT, once for each daemon, or set GREENGAGE_DAEMONS");
    BOOST_OUTCOME_TRY(key, readKey(context.options));
    return std::make_unique<AdminClient>(context.base, std::move(daemons), std::move(key));
}

Result<std::string, CommandError> resolveAuthor(const std::string& option)
{
    auto author = option.empty() ? environmentVariable("USER") : option;
    if (author.empty())
        return usageError("no author given: use --author NAME or set GREENGAGE_AUTHOR; the author is shown in the "
                          "history and in conflicts");
    return author;
}

Deadline deadlineOf(const GlobalOptions& options)
{
    return Deadline::after(BootClock().current(), Seconds(options.timeoutSeconds));
}

Result<ExitCode, CommandError> submitAndWait(
    CommandContext& context, AdminClient& client, const DocumentSubmission& submission, const std::string& subject)
{
    Submitter submitter(client, deadlineOf(context.options));
    BOOST_OUTCOME_TRY(accepted, submitter.submit(submission));
    auto answer = submitter.waitUntilInForce(std::move(accepted));
    if (context.options.json) {
        context.out << AdminCodec::encodeAnswer(answer) << "\n";
        return answer.inForce ? ExitCode::Done : ExitCode::NotInForce;
    }
    context.out << fmt::format("{}: accepted, revision {}\n", subject, answer.revision);
    if (answer.inForce) {
        context.out << "in force everywhere\n";
        return ExitCode::Done;
    }
    std::string behind;
    for (const auto& daemon : answer.behind)
        behind += " " + daemon;
    context.out << "not yet in force everywhere" << (behind.empty() ? "" : "; not yet on" + behind)
                << "; run \"status\" to see when it is\n";
    return ExitCode::NotInForce;
}

Result<std::string, CommandError> readRevision(
    AdminClient& client, const DocumentRecord& record, std::uint64_t revision)
{
    if (revision == record.revision)
        return record.text;
    if (revision == 0)
        return std::string();
    auto change = std::ranges::find(record.changes, revision, &ChangeSummary::revision);
    if (change == record.changes.end()) {
        return usageError(
            fmt::format("revision {} is not available: it is not among the newest {} changes, the only ones kept",
                revision, record.changes.size()));
    }
    return toCommandResult(client.readHistory(change->changeId));
}

} // namespace Greengage::CommandSupport
