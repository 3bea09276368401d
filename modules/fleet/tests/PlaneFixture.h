#pragma once

#include <config/model/Document.h>
#include <core/text/Digest.h>
#include <core/time/ManualClock.h>
#include <fleet/requests/RequestPlane.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Greengage {

/// A request plane on a virtual clock, with a document of one service and two teams.
class PlaneFixture {
public:
    PlaneFixture()
        : plane(identity())
    {
    }

    static PeerState identity()
    {
        PeerState self;
        self.daemon = DaemonId("d1");
        self.incarnation = IncarnationId("i1");
        self.zone = ZoneId("z1");
        return self;
    }

    static AccessKey makeKey(const std::string& name, const std::string& team)
    {
        return AccessKey { KeyId(name), "ops", TeamId(team), "00ff", sha256Hex("00ff" + ("secret-" + name)), 0 };
    }

    static std::shared_ptr<Document> makeDocument(std::uint64_t revision)
    {
        auto document = std::make_shared<Document>();
        document->revision = revision;
        document->services.push_back(Service { ServiceId("pricing"), "ops" });
        document->pools.push_back(Pool { PoolId("p"), "ops", ServiceId("pricing"), { VmId("e1"), VmId("e2") }, 0 });
        Queue quotes { QueueId("quotes"), "ops", ServiceId("pricing") };
        quotes.idempotent = true;
        Queue orders { QueueId("orders"), "ops", ServiceId("pricing") };
        Queue open { QueueId("open"), "ops", ServiceId("pricing") };
        open.access = QueueAccess::Open;
        open.idempotent = true;
        document->queues = { quotes, orders, open };
        document->teams.push_back(Team { TeamId("booking"), "ops", WorkspaceId("w"), 1.0, 10, 0 });
        document->teams.push_back(Team { TeamId("lights"), "ops", WorkspaceId("w"), 1.0, 10, 0 });
        document->keys = { makeKey("k1", "booking"), makeKey("k2", "lights") };
        return document;
    }

    static EndpointsListed makeEndpoints()
    {
        VmRecord first { VmId("e1"), "127.2.1.1", 1000, ZoneId("z1"), RackId("r1"), VmState::Live };
        VmRecord second { VmId("e2"), "127.2.2.1", 1000, ZoneId("z2"), RackId("r2"), VmState::Live };
        return EndpointsListed { { first, second }, {} };
    }

    RequestArrived makeRequest(const std::string& id, const std::string& queue, const std::string& key) const
    {
        RequestArrived arrived;
        arrived.request = RequestId(id);
        arrived.queue = QueueId(queue);
        if (!key.empty())
            arrived.bearer = key + ".secret-" + key;
        arrived.deadline = Deadline::after(this->clock.current(), Seconds(5));
        return arrived;
    }

    /// Applies the document and lists the endpoints, with a fresh confirmation from the store.
    void startServing()
    {
        this->tick(AllotmentsRead { 1, R"({"teams":{"booking":{"i1":10},"lights":{"i1":10}}})", false });
        this->tick(DocumentApplied { makeDocument(1) });
        this->tick(StoreConfirmed { this->clock.current(), 1 });
        this->tick(makeEndpoints());
    }

    std::vector<RequestOutput> tick(RequestInput input) { return this->tick(std::vector { std::move(input) }); }

    std::vector<RequestOutput> tick(std::vector<RequestInput> inputs)
    {
        auto outputs = this->plane.tick(this->clock.current(), inputs);
        if (this->onTick)
            this->onTick(inputs, outputs);
        this->answerWrites(outputs);
        return outputs;
    }

    /// Answers writes of the allotments like a store without other writers.
    void answerWrites(std::vector<RequestOutput>& outputs)
    {
        for (const auto& update : pick<UpdateAllotments>(outputs)) {
            if (!this->storeAnswers)
                break;
            AllotmentsRead read { update.expectedVersion + 1, update.value, true };
            auto more = this->plane.tick(this->clock.current(), { read });
            if (this->onTick)
                this->onTick({ read }, more);
            outputs.insert(outputs.end(), more.begin(), more.end());
        }
    }

    std::vector<RequestOutput> wait(Microseconds span)
    {
        this->clock.advance(span);
        return this->tick(std::vector<RequestInput> {});
    }

    static AttemptEnded ended(const SendAttempt& attempt, AttemptResult result)
    {
        return AttemptEnded { attempt.request, attempt.attempt, attempt.endpoint, result };
    }

    template <typename Message> static std::vector<Message> pick(const std::vector<RequestOutput>& outputs)
    {
        std::vector<Message> picked;
        for (const auto& output : outputs) {
            if (const auto* message = std::get_if<Message>(&output))
                picked.push_back(*message);
        }
        return picked;
    }

    /// The only message of its kind among the outputs; a default one if there is none or more than one.
    template <typename Message> static Message only(const std::vector<RequestOutput>& outputs)
    {
        auto picked = pick<Message>(outputs);
        return picked.size() == 1 ? picked.front() : Message {};
    }

    ManualClock clock;
    RequestPlane plane;
    /// Whether writes of the allotments succeed at once; otherwise the test answers them.
    bool storeAnswers = true;
    int requests = 0;
    /// Called with the inputs and the outputs of each tick.
    std::function<void(const std::vector<RequestInput>&, const std::vector<RequestOutput>&)> onTick;
};

} // namespace Greengage
