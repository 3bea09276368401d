#include <daemon/configuration/DocumentCache.h>

#include <config/document/DocumentParser.h>
#include <core/log/Log.h>
#include <core/log/LogLine.h>

#include <algorithm>

namespace Greengage {

DocumentCache::DocumentCache(OnApplied onApplied)
    : onApplied(std::move(onApplied))
{
}

void DocumentCache::offer(const DocumentRecord& record, const char* source)
{
    this->configuration.newestStored = std::max(this->configuration.newestStored, record.revision);
    if (record.revision <= this->configuration.appliedRevision())
        return;
    auto parsed = DocumentParser().parse(record.text, record.revision);
    if (!parsed.has_value()) {
        writeLog(LogLevel::Error,
            LogLine("document_refused")
                .add("revision", record.revision)
                .add("source", source)
                .add("errors", parsed.error().describe("document")));
        return;
    }
    this->configuration.record = record;
    this->configuration.document = std::make_shared<const Document>(std::move(parsed.value()));
    std::string author = record.changes.empty() ? "" : record.changes.front().author;
    writeLog(LogLevel::Info,
        LogLine("document_applied").add("revision", record.revision).add("source", source).add("author", author));
    this->onApplied(this->configuration.document);
}

} // namespace Greengage
