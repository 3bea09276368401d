#include <config/document/DocumentBuilder.h>

#include <algorithm>
#include <spdlog/fmt/fmt.h>

namespace Greengage {

namespace {

constexpr int maxLatencyMilliseconds = 600'000;
constexpr int maxDeadlineMilliseconds = 3'600'000;
constexpr int maxDrainTimeoutSeconds = 86'400;
constexpr int maxCount = 1'000'000;
constexpr double maxShare = 1'000'000;
constexpr std::size_t minSaltDigits = 16;
constexpr std::size_t maxSaltDigits = 128;
constexpr std::size_t digestDigits = 64;
constexpr std::string_view sectionKinds = "service, pool, queue, team, key or wave";

} // namespace

void DocumentBuilder::add(const IniSection& section)
{
    using Adder = void (DocumentBuilder::*)(SectionReader&, std::string, int);
    static const std::map<std::string, Adder, std::less<>> adders {
        { "service", &DocumentBuilder::addService },
        { "pool", &DocumentBuilder::addPool },
        { "queue", &DocumentBuilder::addQueue },
        { "team", &DocumentBuilder::addTeam },
        { "key", &DocumentBuilder::addKey },
        { "wave", &DocumentBuilder::addWave },
    };
    SectionReader reader(section, this->errors);
    auto space = section.header.find(' ');
    auto kind = section.header.substr(0, space);
    auto name = space == std::string::npos ? std::string() : section.header.substr(space + 1);
    auto adder = adders.find(kind);
    if (adder == adders.end()) {
        reader.report({}, section.line,
            fmt::format("unknown kind of section; expected [<kind> <name>], where <kind> is {}", sectionKinds));
        return;
    }
    if (!SectionReader::isName(name)) {
        reader.report({}, section.line, fmt::format("expected [{} <name>]; {}", kind, SectionReader::nameRule()));
        return;
    }
    if (!this->registerHeader(section))
        return;
    this->currentHeader = section.header;
    (this->*adder->second)(reader, std::move(name), section.line);
    reader.reportUnknownKeys();
}

bool DocumentBuilder::registerHeader(const IniSection& section)
{
    auto [earlier, isNew] = this->headerLines.emplace(section.header, section.line);
    if (!isNew) {
        this->errors.list.push_back({ section.header, {}, section.line,
            fmt::format("the section appears twice, first on line {}; merge the two or rename one", earlier->second) });
    }
    return isNew;
}

void DocumentBuilder::addService(SectionReader& reader, std::string name, int line)
{
    Service service;
    service.name = ServiceId(std::move(name));
    service.line = line;
    service.owner = reader.text("owner");
    service.objectivePercent = reader.numberBetween("objective_percent", 0, 100, service.objectivePercent);
    service.latencyObjectiveMilliseconds = reader.integer(
        "latency_objective_milliseconds", 1, maxLatencyMilliseconds, service.latencyObjectiveMilliseconds);
    service.maxUnavailable = reader.integer("max_unavailable", 0, maxCount, service.maxUnavailable);
    service.maxUnavailablePerRack
        = reader.integer("max_unavailable_per_rack", 0, maxCount, service.maxUnavailablePerRack);
    service.maxUnavailablePerZone
        = reader.integer("max_unavailable_per_zone", 0, maxCount, service.maxUnavailablePerZone);
    this->document.services.push_back(std::move(service));
}

void DocumentBuilder::addPool(SectionReader& reader, std::string name, int line)
{
    Pool pool;
    pool.name = PoolId(std::move(name));
    pool.line = line;
    pool.owner = reader.text("owner");
    pool.service = reader.identifier<ServiceId>("service", false);
    this->addReference(reader, "service", pool.service.string(), "service");
    for (const auto& vm : reader.vmIds("vms")) {
        Reference location { vm.value, this->currentHeader, "vms", vm.line };
        auto [earlier, isNew] = this->poolReferences.emplace(vm.value, location);
        if (!isNew) {
            reader.report("vms", vm.line,
                fmt::format("VM \"{}\" is already listed in [{}] on line {}; each VM belongs to exactly one pool and "
                            "is listed once",
                    vm.value, earlier->second.section, earlier->second.line));
            continue;
        }
        pool.vms.push_back(VmId(vm.value));
    }
    this->document.pools.push_back(std::move(pool));
}

void DocumentBuilder::addQueue(SectionReader& reader, std::string name, int line)
{
    Queue queue;
    queue.name = QueueId(std::move(name));
    queue.line = line;
    queue.owner = reader.text("owner");
    queue.service = reader.identifier<ServiceId>("service");
    this->addReference(reader, "service", queue.service.string(), "service");
    queue.access = reader.choice<QueueAccess>("access", queue.access);
    queue.priority = reader.choice<Priority>("priority", queue.priority);
    queue.idempotent = reader.yesOrNo("idempotent", queue.idempotent);
    queue.maxDeadlineMilliseconds
        = reader.integer("max_deadline_milliseconds", 1, maxDeadlineMilliseconds, queue.maxDeadlineMilliseconds);
    queue.maxWaitingPerTeam = reader.integer("max_waiting_per_team", 1, maxCount, queue.maxWaitingPerTeam);
    this->document.queues.push_back(std::move(queue));
}

void DocumentBuilder::addTeam(SectionReader& reader, std::string name, int line)
{
    Team team;
    team.name = TeamId(std::move(name));
    team.line = line;
    team.owner = reader.text("owner");
    team.workspace = reader.identifier<WorkspaceId>("workspace");
    team.share = reader.numberBetween("share", 0, maxShare);
    team.limit = reader.integer("limit", 0, maxCount);
    this->document.teams.push_back(std::move(team));
}

void DocumentBuilder::addKey(SectionReader& reader, std::string name, int line)
{
    AccessKey key;
    key.name = KeyId(std::move(name));
    key.line = line;
    key.owner = reader.text("owner");
    key.team = reader.identifier<TeamId>("team");
    this->addReference(reader, "team", key.team.string(), "team");
    key.salt = reader.hexDigits("salt", minSaltDigits, maxSaltDigits);
    key.digest = reader.hexDigits("digest", digestDigits, digestDigits);
    this->document.keys.push_back(std::move(key));
}

void DocumentBuilder::addWave(SectionReader& reader, std::string name, int line)
{
    Wave wave;
    wave.name = WaveId(std::move(name));
    wave.line = line;
    wave.owner = reader.text("owner");
    for (const auto& pool : reader.names("pools")) {
        this->addReference(reader, "pool", pool.value, "pools", pool.line);
        if (std::ranges::find(wave.pools, PoolId(pool.value)) != wave.pools.end())
            reader.report("pools", pool.line, fmt::format("pool \"{}\" is listed twice; remove one", pool.value));
        wave.pools.push_back(PoolId(pool.value));
    }
    if (wave.pools.empty())
        reader.report("pools", reader.lineOf("pools"), "no pool is listed; name at least one");
    wave.action = reader.choice<WaveAction>("action", wave.action);
    wave.target = reader.identifier<PoolId>("target", false);
    this->checkTarget(reader, wave);
    wave.maxConcurrent = reader.integer("max_concurrent", 1, maxCount, wave.maxConcurrent);
    wave.drainTimeoutSeconds
        = reader.integer("drain_timeout_seconds", 1, maxDrainTimeoutSeconds, wave.drainTimeoutSeconds);
    this->document.waves.push_back(std::move(wave));
}

void DocumentBuilder::checkTarget(SectionReader& reader, const Wave& wave)
{
    auto line = reader.lineOf("target");
    if (wave.action == WaveAction::Move && wave.target.isEmpty())
        reader.report(
            "target", line, "missing; a wave with action = move needs the name of the pool that its VMs move to");
    if (wave.action == WaveAction::Reboot && !wave.target.isEmpty())
        reader.report(
            "target", line, "a wave with action = reboot must have no target; remove it or set action = move");
    if (!wave.target.isEmpty() && std::ranges::find(wave.pools, wave.target) != wave.pools.end())
        reader.report("target", line, "the target is one of the wave's own pools; name another pool");
    this->addReference(reader, "pool", wave.target.string(), "target");
}

void DocumentBuilder::addReference(
    SectionReader& reader, std::string_view kind, const std::string& name, std::string_view key, int line)
{
    if (name.empty())
        return;
    auto location = line == 0 ? reader.lineOf(key) : line;
    this->references.push_back({ fmt::format("{} {}", kind, name), this->currentHeader, std::string(key), location });
}

void DocumentBuilder::checkReferences()
{
    for (const auto& reference : this->references) {
        if (this->headerLines.contains(reference.target))
            continue;
        this->errors.list.push_back({ reference.section, reference.key, reference.line,
            fmt::format("there is no section [{}]; add it or use the name of an existing one", reference.target) });
    }
}

} // namespace Greengage
