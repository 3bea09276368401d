#include <daemon/metrics/DaemonGauges.h>

#include <daemon/metrics/ProcessUsage.h>
#include <metrics/registry/MetricsRegistry.h>

#include <string_view>

namespace Greengage {

namespace {

/// Raises a counter to a total that another object counts.
void raiseTo(Counter& counter, std::uint64_t total)
{
    if (total > counter.value())
        counter.add(total - counter.value());
}

void publishUsage(MetricsRegistry& registry)
{
    ProcessUsage usage = ProcessUsage::read();
    registry.gauge("process_cpu_seconds_total", "Processor time used.").set(usage.cpuSeconds);
    registry.gauge("process_resident_memory_bytes", "Resident memory, shared libraries included.")
        .set(usage.residentBytes);
    registry.gauge("greengage_private_memory_bytes", "Resident memory that no other process shares.")
        .set(usage.privateBytes);
    registry.gauge("process_open_fds", "Open descriptors.").set(usage.openDescriptors);
}

} // namespace

void DaemonGauges::publish(MetricsRegistry& registry) const
{
    publishUsage(registry);
    registry.gauge("greengage_applied_revision", "Revision of the document applied.")
        .set(static_cast<double>(this->appliedRevision));
    registry.gauge("greengage_store_reachable", "1 if the store answered the newest call.")
        .set(this->storeReachable ? 1 : 0);
    registry.gauge("greengage_caller_connections", "Open connections of callers.")
        .set(static_cast<double>(this->callerConnectionCount));
    registry.gauge("greengage_held_caller_bytes", "Bytes that the connections of callers hold.")
        .set(static_cast<double>(this->heldCallerBytes));
    constexpr std::string_view meshName = "greengage_mesh_bytes_total";
    constexpr std::string_view meshHelp = "Bytes exchanged with other daemons, by direction.";
    raiseTo(registry.counter(meshName, meshHelp, { { "direction", "sent" } }), this->meshBytesSent);
    raiseTo(registry.counter(meshName, meshHelp, { { "direction", "received" } }), this->meshBytesReceived);
    raiseTo(registry.counter("greengage_ticks_total", "Ticks of the request plane."), this->ticks);
    for (const StoreCallCount& calls : this->storeCalls)
        raiseTo(registry.counter("greengage_store_calls_total", "Calls to the platform's store, by kind.",
                    { { "kind", calls.kind } }),
            calls.count);
}

} // namespace Greengage
