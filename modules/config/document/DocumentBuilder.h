#pragma once

#include <config/document/Reference.h>
#include <config/errors/ConfigErrors.h>
#include <config/ini/IniSection.h>
#include <config/ini/SectionReader.h>
#include <config/model/Document.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Greengage {

/// Fills a document section by section and remembers what refers to what. Call `add` for each section, then
/// `checkReferences`.
class DocumentBuilder {
public:
    void add(const IniSection&);
    void checkReferences();

    Document document;
    ConfigErrors errors;

private:
    void addService(SectionReader&, std::string name, int line);
    void addPool(SectionReader&, std::string name, int line);
    void addQueue(SectionReader&, std::string name, int line);
    void addTeam(SectionReader&, std::string name, int line);
    void addKey(SectionReader&, std::string name, int line);
    void addWave(SectionReader&, std::string name, int line);
    void checkTarget(SectionReader&, const Wave&);
    bool claimHeader(const IniSection&);
    /// Remembers that `key` names an entity of the given kind. An empty name refers to nothing.
    void refer(SectionReader&, std::string_view kind, const std::string& name, std::string_view key, int line = 0);

    std::string currentHeader;
    std::map<std::string, int, std::less<>> headers;
    std::map<std::string, Reference, std::less<>> poolOfVm;
    std::vector<Reference> references;
};

} // namespace Greengage
