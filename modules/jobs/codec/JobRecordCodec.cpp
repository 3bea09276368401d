#include <jobs/codec/JobRecordCodec.h>

#include <jobs/codec/CompactJson.h>

namespace Greengage {

namespace {

Json::Value encodeStep(const StepSpec& step)
{
    Json::Value value(Json::objectValue);
    value["tasks"] = step.taskCount;
    value["cpu"] = Json::Int64(step.demand.cpuMillis);
    value["memory"] = Json::Int64(step.demand.memoryMegabytes);
    if (step.demand.accelerators)
        value["accelerators"] = Json::Int64(step.demand.accelerators);
    if (step.estimate.count())
        value["estimateMs"] = Json::Int64(step.estimate.count());
    for (auto earlier : step.after)
        value["follows"].append(earlier);
    auto addText = [&value](const char* name, const std::string& text) {
        if (!text.empty())
            value[name] = text;
    };
    addText("label", step.requiredLabel);
    addText("rack", step.preferredRack);
    addText("image", step.image);
    if (step.perWorkerLimit)
        value["perWorker"] = step.perWorkerLimit;
    if (step.tailTarget.count())
        value["tailTargetMs"] = Json::Int64(step.tailTarget.count());
    if (step.maxUnavailableTasks)
        value["mayMiss"] = step.maxUnavailableTasks;
    auto addFlag = [&value](const char* name, bool flag) {
        if (flag)
            value[name] = true;
    };
    addFlag("checkpoints", step.checkpoints);
    addFlag("gang", step.gang);
    addFlag("sameRack", step.sameRack);
    addFlag("speculative", step.speculative);
    addFlag("lasting", step.longRunning);
    addFlag("fills", step.bestEffort);
    return value;
}

StepSpec decodeStep(const Json::Value& value)
{
    StepSpec step;
    step.taskCount = value["tasks"].asUInt();
    step.demand = { value["cpu"].asInt64(), value["memory"].asInt64(), value["accelerators"].asInt64() };
    step.estimate = Milliseconds(value["estimateMs"].asInt64());
    for (const auto& earlier : value["follows"])
        step.after.push_back(earlier.asUInt());
    step.requiredLabel = value["label"].asString();
    step.preferredRack = value["rack"].asString();
    step.image = value["image"].asString();
    step.perWorkerLimit = value["perWorker"].asUInt();
    step.tailTarget = Milliseconds(value["tailTargetMs"].asInt64());
    step.maxUnavailableTasks = value["mayMiss"].asUInt();
    step.checkpoints = value["checkpoints"].asBool();
    step.gang = value["gang"].asBool();
    step.sameRack = value["sameRack"].asBool();
    step.speculative = value["speculative"].asBool();
    step.longRunning = value["lasting"].asBool();
    step.bestEffort = value["fills"].asBool();
    return step;
}

Json::Value encodePolicy(const QueuePolicy& policy)
{
    Json::Value value(Json::objectValue);
    value["pool"] = policy.pool.string();
    value["priority"] = policy.priority;
    value["attempts"] = policy.maxAttempts;
    value["stretch"] = policy.stretch;
    value["slackMs"] = Json::Int64(policy.slack.count());
    if (policy.advice) {
        value["advice"]["decisionMs"] = Json::Int64(policy.advice->decisionTime.count());
        value["advice"]["perWorkerMs"] = Json::Int64(policy.advice->timePerWorker.count());
        value["advice"]["ticketMs"] = Json::Int64(policy.advice->ticketLifetime.count());
    }
    return value;
}

QueuePolicy decodePolicy(const QueueId& queue, const Json::Value& value)
{
    QueuePolicy policy;
    policy.id = queue;
    policy.pool = PoolId(value["pool"].asString());
    policy.priority = value["priority"].asInt();
    policy.maxAttempts = value["attempts"].asUInt();
    policy.stretch = value["stretch"].asDouble();
    policy.slack = Milliseconds(value["slackMs"].asInt64());
    if (value.isMember("advice")) {
        const Json::Value& advice = value["advice"];
        policy.advice = AdvicePolicy { Milliseconds(advice["decisionMs"].asInt64()),
            Milliseconds(advice["perWorkerMs"].asInt64()), Milliseconds(advice["ticketMs"].asInt64()) };
    }
    return policy;
}

} // namespace

std::string JobRecordCodec::encode(const JobRecord& record) const
{
    Json::Value value(Json::objectValue);
    value["job"] = record.id.string();
    value["queue"] = record.queue.string();
    value["team"] = record.team.string();
    value["receivedMs"] = Json::Int64(record.receivedUnixMs);
    value["payload"] = record.spec.payload;
    for (const auto& step : record.spec.steps)
        value["steps"].append(encodeStep(step));
    if (record.spec.occurrences) {
        value["occurrences"] = record.spec.occurrences;
        value["firstDueMs"] = Json::Int64(record.spec.firstDueUnixMs);
        value["intervalMs"] = Json::Int64(record.spec.intervalMs);
    }
    if (record.queuePolicy)
        value["policy"] = encodePolicy(*record.queuePolicy);
    return toCompactJson(value);
}

std::optional<JobRecord> JobRecordCodec::decode(std::string_view text) const
{
    auto value = parseJsonObject(text);
    if (!value)
        return std::nullopt;
    try {
        const Json::Value& source = *value;
        JobRecord record;
        record.id = JobId(source["job"].asString());
        record.queue = QueueId(source["queue"].asString());
        record.team = TeamId(source["team"].asString());
        record.receivedUnixMs = source["receivedMs"].asInt64();
        record.spec.payload = source["payload"].asString();
        for (const auto& step : source["steps"])
            record.spec.steps.push_back(decodeStep(step));
        record.spec.occurrences = source["occurrences"].asUInt();
        record.spec.firstDueUnixMs = source["firstDueMs"].asInt64();
        record.spec.intervalMs = source["intervalMs"].asInt64();
        if (source.isMember("policy"))
            record.queuePolicy = decodePolicy(record.queue, source["policy"]);
        if (record.id.isEmpty() || record.spec.steps.empty())
            return std::nullopt;
        return record;
    } catch (const Json::Exception&) {
        // A field has an unexpected type, so `encode` did not write this text.
        return std::nullopt;
    }
}

} // namespace Greengage
