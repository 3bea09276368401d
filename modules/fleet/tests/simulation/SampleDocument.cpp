#include <fleet/tests/simulation/SampleDocument.h>

#include <core/text/Digest.h>

namespace Greengage {

std::shared_ptr<Document> makeSampleDocument(std::uint64_t revision, int teams, int limit, int endpoints)
{
    auto document = std::make_shared<Document>();
    document->revision = revision;
    ServiceId service("pricing");
    document->services.push_back(Service { service, "operators" });
    Pool pool { PoolId("pool"), "operators", service, {}, 0 };
    for (int index = 0; index < endpoints; ++index)
        pool.vms.emplace_back("e" + std::to_string(index));
    document->pools.push_back(pool);
    for (int index = 0; index < teams; ++index) {
        auto number = std::to_string(index);
        Queue queue { QueueId("q" + number), "operators", service };
        queue.idempotent = true;
        document->queues.push_back(queue);
        document->teams.push_back(Team { TeamId("t" + number), "operators", WorkspaceId("w"), 1.0, limit, 0 });
        AccessKey key { KeyId("k" + number), "operators", TeamId("t" + number), "00ff", "", 0 };
        key.digest = sha256Hex("00ff" + ("secret-k" + number));
        document->keys.push_back(key);
    }
    return document;
}

} // namespace Greengage
