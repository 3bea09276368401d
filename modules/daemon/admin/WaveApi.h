#pragma once

#include <daemon/maintenance/MaintenanceDriver.h>
#include <gateway/admin/AdminServer.h>

#include <functional>
#include <string>
#include <vector>

namespace Greengage {

struct VmRecord;

/// Handles admin requests about waves: commands, and the plan that a dry run shows.
class WaveApi {
public:
    static constexpr const char* pathPrefix = "/v1/waves/";

    struct Sources {
        const KnownConfiguration& configuration;
        const std::vector<VmRecord>& vms;
        MaintenanceDriver& driver;
    };

    explicit WaveApi(Sources sources)
        : sources(sources)
    {
    }

    void handle(const AdminRequest&, AdminServer::Responder);

private:
    void plan(const WaveId&, const AdminServer::Responder&);

    Sources sources;
};

} // namespace Greengage
