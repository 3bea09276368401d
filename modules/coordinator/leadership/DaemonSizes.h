#pragma once

#include <coordinator/leadership/StoreKeys.h>
#include <coordinator/store/SharedStore.h>
#include <core/log/Log.h>
#include <core/log/LogLine.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Greengage {

/// What processor time each daemon has, as they tell each other through the shared store. A daemon that is gone keeps
/// its entry, so sizes say who would go first, not who is alive.
template <SharedStore Store> class DaemonSizes {
public:
    DaemonSizes(Store& store, DaemonId self, std::int64_t cpuMillis)
        : store(store)
        , self(std::move(self))
        , cpuMillis(cpuMillis)
    {
    }

    /// Takes in a key below StoreKeys::sizes.
    void take(const KvItem& item)
    {
        DaemonId daemon(item.key.substr(std::string_view(StoreKeys::sizes).size()));
        std::int64_t size = 0;
        std::from_chars(item.value.data(), item.value.data() + item.value.size(), size);
        if (item.isRemoved || size <= 0)
            this->sizes.erase(daemon);
        else
            this->sizes[daemon] = size;
    }

    /// Stores this daemon's size unless it is stored already.
    void publish()
    {
        if (this->isPublishing || this->of(this->self) == this->cpuMillis)
            return;
        this->isPublishing = true;
        KvCommit commit { {}, { { StoreKeys::size(this->self), std::to_string(this->cpuMillis) } }, {} };
        this->store.commit(commit, [this](auto result) {
            this->isPublishing = false;
            if (!result.has_value())
                writeLog(LogLevel::Warning, LogLine("size_not_stored").add("reason", nameOf(result.error())));
        });
    }

    std::int64_t own() const { return this->cpuMillis; }

    /// The size that a daemon has told of; zero if it has not.
    std::int64_t of(const DaemonId& daemon) const
    {
        auto found = this->sizes.find(daemon);
        return found == this->sizes.end() ? 0 : found->second;
    }

    /// Whether no daemon is larger than this one.
    bool isLargest() const
    {
        return std::all_of(this->sizes.begin(), this->sizes.end(),
            [this](const auto& entry) { return entry.second <= this->cpuMillis; });
    }

private:
    Store& store;
    DaemonId self;
    /// Thousandths of a core.
    std::int64_t cpuMillis;
    std::map<DaemonId, std::int64_t> sizes;
    bool isPublishing = false;
};

} // namespace Greengage
