#include <jobs/codec/JobProgressCodec.h>

#include <jobs/codec/CompactJson.h>

#include <algorithm>

namespace Greengage {

namespace {

/// Returns the text form of the task without its job: OCCURRENCE.STEP.INDEX.
std::string taskSuffix(const TaskName& task)
{
    return std::to_string(task.occurrence) + '.' + std::to_string(task.step) + '.' + std::to_string(task.index);
}

} // namespace

std::string JobProgressCodec::encode(const JobProgress& progress) const
{
    Json::Value value(Json::objectValue);
    for (const auto& task : progress.done)
        value["done"].append(taskSuffix(task));
    for (const auto& [task, placement] : progress.placements) {
        Json::Value& row = value["placed"][taskSuffix(task)];
        row.append(placement.worker.string());
        row.append(placement.run);
        if (placement.isSettled)
            value["settled"].append(taskSuffix(task));
        if (placement.wasListed)
            value["listed"].append(taskSuffix(task));
    }
    for (const auto& [task, runs] : progress.failedRuns) {
        for (auto run : runs)
            value["failedRuns"][taskSuffix(task)].append(run);
    }
    if (progress.hasStarted)
        value["started"] = true;
    return toCompactJson(value);
}

std::optional<JobProgress> JobProgressCodec::decode(const JobId& job, std::string_view text) const
{
    auto value = parseJsonObject(text);
    if (!value)
        return std::nullopt;
    auto parse = [&job](const std::string& suffix) { return TaskName::parse(job.string() + '.' + suffix); };
    JobProgress progress;
    try {
        const Json::Value& source = *value;
        for (const auto& suffix : source["done"]) {
            auto task = parse(suffix.asString());
            if (!task)
                return std::nullopt;
            progress.done.insert(*task);
        }
        const Json::Value& placed = source["placed"];
        for (auto entry = placed.begin(); entry != placed.end(); ++entry) {
            auto task = parse(entry.name());
            if (!task || entry->size() != 2)
                return std::nullopt;
            progress.placements[*task] = { WorkerId((*entry)[0].asString()), (*entry)[1].asUInt() };
        }
        auto mark = [&](const char* field, bool TaskPlacement::*flag) {
            return std::all_of(source[field].begin(), source[field].end(), [&](const Json::Value& suffix) {
                auto task = parse(suffix.asString());
                bool isPlaced = task && progress.placements.contains(*task);
                if (isPlaced)
                    progress.placements[*task].*flag = true;
                return isPlaced;
            });
        };
        if (!mark("settled", &TaskPlacement::isSettled) || !mark("listed", &TaskPlacement::wasListed))
            return std::nullopt;
        const Json::Value& failures = source["failedRuns"];
        for (auto entry = failures.begin(); entry != failures.end(); ++entry) {
            auto task = parse(entry.name());
            if (!task)
                return std::nullopt;
            for (const auto& run : *entry)
                progress.failedRuns[*task].insert(run.asUInt());
        }
        progress.hasStarted = source["started"].asBool();
    } catch (const Json::Exception&) {
        // A field has an unexpected type, so `encode` did not write this text.
        return std::nullopt;
    }
    return progress;
}

} // namespace Greengage
