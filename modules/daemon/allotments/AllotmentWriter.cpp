#include <daemon/allotments/AllotmentWriter.h>

#include <store/store/StoreClient.h>
#include <store/store/StoreEntry.h>
#include <store/store/StoreWrite.h>

#include <fleet/requests/messages/UpdateAllotments.h>

namespace Greengage {

namespace {

constexpr Milliseconds retryDelay { 250 };

} // namespace

AllotmentWriter::AllotmentWriter(event_base& base, StoreClient& store, OnInput onInput)
    : store(store)
    , onInput(std::move(onInput))
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
        this->onInput(AllotmentsRead { written.value(), value, true });
    });
}

void AllotmentWriter::handleFailure(const StoreError& error)
{
    bool mayHaveTakenEffect = error.code == StoreErrorCode::AnswerLost || error.code == StoreErrorCode::Malformed;
    this->onInput(AllotmentsWriteFailed { mayHaveTakenEffect });
    this->readBack();
}

void AllotmentWriter::readBack()
{
    this->store.read(key, [this](Result<StoreEntry, StoreError> entry) {
        if (entry.has_value()) {
            this->newestVersion = std::max(this->newestVersion, entry.value().version);
            this->onInput(AllotmentsRead { entry.value().version, entry.value().value, false });
        } else if (entry.error().code == StoreErrorCode::NotFound)
            this->onInput(AllotmentsRead {});
        else
            this->retry.schedule(retryDelay);
    });
}

void AllotmentWriter::handleEntry(const StoreEntry& entry)
{
    if (entry.version <= this->newestVersion)
        return;
    this->newestVersion = entry.version;
    this->onInput(AllotmentsRead { entry.version, entry.value, false });
}

} // namespace Greengage
