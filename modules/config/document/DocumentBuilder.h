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

/// Builds a document section by section and collects the references between sections. Call `add` for each section, then
/// `checkReferences`; `document` is valid only if `errors` is empty afterwards.
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
    /// Records the section's header. Returns false and reports an error if an earlier section has the same header.
    bool registerHeader(const IniSection&);
    /// Records that `key` refers to the entity of the given kind and name; does nothing if the name is empty. `line` is
    /// the line of the reference, or 0 for the line of the key.
    void addReference(
        SectionReader&, std::string_view kind, const std::string& name, std::string_view key, int line = 0);

    std::string currentHeader;
    /// Line of each section's header, by header.
    std::map<std::string, int, std::less<>> headerLines;
    /// Where each VM is listed in a pool, by the VM's id.
    std::map<std::string, Reference, std::less<>> poolReferences;
    std::vector<Reference> references;
};

} // namespace Greengage
