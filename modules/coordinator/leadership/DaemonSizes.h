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

/// The processor time that each daemon has, as the daemons publish it in the shared store. A daemon that has stopped
/// keeps its entry, so sizes tell which daemon is preferred as leader, not which daemons are alive.
template <SharedStore Store> class DaemonSizes {
public:
    DaemonSizes(Store& store, DaemonId self, std::int64_t cpuMillis)
        : store(store)
        , self(std::move(self))
        , cpuMillis(cpuMillis)
    {
    }

    /// Applies the current value, or the removal, of a key below StoreKeys::sizes.
    void apply(const KvItem& item)
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
                writeLog(LogLevel::Warning, LogLine("daemon_size_not_stored").add("reason", nameOf(result.error())));
        });
    }

    /// The size of this daemon, in thousandths of a core.
    std::int64_t own() const { return this->cpuMillis; }

    /// The size that a daemon has published, in thousandths of a core; zero if it has published none.
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
