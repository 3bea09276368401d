#include <daemon/allotments/AllotmentWriter.h>

#include <store/store/StoreClient.h>
#include <store/store/StoreEntry.h>
#include <store/store/StoreWrite.h>

#include <fleet/requests/messages/UpdateAllotments.h>

namespace Greengage {

namespace {

constexpr Milliseconds retryDelay { 250 };

} // namespace

AllotmentWriter::AllotmentWriter(event_base& base, StoreClient& store, Input input)
    : store(store)
    , input(std::move(input))
    , retry(base, [this] { this->readBack(); })
{
}

void AllotmentWriter::update(const UpdateAllotments& update)
{
    StoreWrite write { key, update.value, update.expectedVersion, "" };
    this->store.write(write, [this, value = update.value](Result<std::uint64_t, StoreError> written) {
        if (!written.has_value()) {
            this->handleFailure(written.error());
            return;
        }
        this->newestVersion = std::max(this->newestVersion, written.value());
        this->input(AllotmentsRead { written.value(), value, true });
    });
}

void AllotmentWriter::handleFailure(const StoreError& error)
{
    bool mayHaveTakenEffect = error.code == StoreErrorCode::AnswerLost || error.code == StoreErrorCode::Malformed;
    this->input(AllotmentsWriteFailed { mayHaveTakenEffect });
    this->readBack();
}

void AllotmentWriter::readBack()
{
    this->store.read(key, [this](Result<StoreEntry, StoreError> entry) {
        if (entry.has_value()) {
            this->newestVersion = std::max(this->newestVersion, entry.value().version);
            this->input(AllotmentsRead { entry.value().version, entry.value().value, false });
        } else if (entry.error().code == StoreErrorCode::NotFound)
            this->input(AllotmentsRead {});
        else
            this->retry.schedule(retryDelay);
    });
}

void AllotmentWriter::take(const StoreEntry& entry)
{
    if (entry.version <= this->newestVersion)
        return;
    this->newestVersion = entry.version;
    this->input(AllotmentsRead { entry.version, entry.value, false });
}

} // namespace Greengage
