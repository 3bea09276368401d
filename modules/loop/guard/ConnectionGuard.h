#pragma once

#include <core/time/Deadline.h>
#include <loop/guard/ConnectionClosing.h>
#include <loop/guard/ConnectionLimits.h>

#include <algorithm>
#include <optional>
#include <unordered_map>

namespace Greengage {

/// Decides which connections of a listener have to be closed, so that their number, the bytes that they hold together
/// and the time that each phase takes stay within the limits. Knows neither sockets nor a clock; `Key` is what the
/// listener names its connections by.
///
/// A connection whose request is being handled is never closed: the request may have taken effect, so its answer is
/// owed. A further connection takes the place of the one without a complete request for longest; if each has had one
/// just now, or is new, further ones must not be accepted.
template <typename Key> class ConnectionGuard {
public:
    explicit ConnectionGuard(const ConnectionLimits& limits)
        : limits(limits)
    {
    }

    /// Applies to phases that begin later.
    void setLimits(const ConnectionLimits& newLimits) { this->limits = newLimits; }
    const ConnectionLimits& currentLimits() const { return this->limits; }

    /// Adds a connection, which is idle.
    void open(Key key, Instant now)
    {
        this->connections.emplace(key,
            Connection { ConnectionPhase::Idle, this->deadlineOf(ConnectionPhase::Idle, now),
                Deadline::after(now, this->limits.replaceAfter), 0 });
    }

    /// Removes a connection that was closed. Does nothing if it has been removed.
    void remove(Key key)
    {
        auto found = this->connections.find(key);
        if (found == this->connections.end())
            return;
        this->held -= found->second.held;
        this->connections.erase(found);
    }

    bool contains(Key key) const { return this->connections.contains(key); }

    /// Begins a phase of a connection and returns its deadline.
    Deadline enter(Key key, ConnectionPhase phase, Instant now)
    {
        Connection& entered = this->connections.at(key);
        entered.phase = phase;
        entered.deadline = this->deadlineOf(phase, now);
        if (phase == ConnectionPhase::Handling)
            entered.replaceableFrom = Deadline::after(now, this->limits.replaceAfter);
        return entered.deadline;
    }

    /// Sets the bytes that a connection holds.
    void hold(Key key, std::size_t bytes)
    {
        Connection& holder = this->connections.at(key);
        this->held += bytes;
        this->held -= holder.held;
        holder.held = bytes;
    }

    ConnectionPhase phaseOf(Key key) const { return this->connections.at(key).phase; }

    /// How many bytes may be read from a connection before the server has consumed any of them.
    std::size_t readLimit(Key key) const
    {
        bool readsBody = this->phaseOf(key) == ConnectionPhase::Body;
        return readMarginBytes
            + (readsBody ? std::max(this->limits.maxBodyBytes, this->limits.maxHeaderBytes)
                         : this->limits.maxHeaderBytes);
    }

    /// Removes and returns a connection that must be closed because there are too many or they hold too much; nothing
    /// if these limits are kept. To be called until it returns nothing.
    std::optional<ConnectionClosing<Key>> takeExcess()
    {
        if (this->connections.size() > this->limits.maxConnections) {
            auto longest = this->firstClosable(
                [](const auto& one, const auto& other) { return one.replaceableFrom < other.replaceableFrom; });
            if (longest != this->connections.end())
                return this->take(longest, CloseReason::TooManyConnections);
        }
        if (this->held > this->limits.maxHeldBytes) {
            auto largest = this->firstClosable(
                [](const Connection& one, const Connection& other) { return one.held > other.held; });
            if (largest != this->connections.end() && largest->second.held > 0)
                return this->take(largest, CloseReason::MemoryFull);
        }
        return std::nullopt;
    }

    /// Removes and returns a connection whose deadline has passed; nothing if there is none. To be called until it
    /// returns nothing.
    std::optional<ConnectionClosing<Key>> takeOverdue(Instant now)
    {
        auto earliest = this->firstClosable(
            [](const Connection& one, const Connection& other) { return one.deadline < other.deadline; });
        if (earliest == this->connections.end() || !earliest->second.deadline.hasPassed(now))
            return std::nullopt;
        return this->take(earliest, CloseReason::Overdue);
    }

    /// When `takeOverdue` has something to return if nothing else happens.
    Deadline nextDeadline() const
    {
        Deadline earliest = Deadline::never();
        for (const auto& [key, connection] : this->connections)
            earliest = std::min(earliest, connection.deadline);
        return earliest;
    }

    /// From when a further connection can be served, if need be in place of another.
    Deadline acceptingFrom() const
    {
        if (this->connections.size() < this->limits.maxConnections)
            return Deadline();
        Deadline earliest = Deadline::never();
        for (const auto& [key, connection] : this->connections) {
            if (connection.phase != ConnectionPhase::Handling)
                earliest = std::min(earliest, connection.replaceableFrom);
        }
        return earliest;
    }

    std::size_t connectionCount() const { return this->connections.size(); }
    std::size_t heldBytes() const { return this->held; }

private:
    struct Connection {
        ConnectionPhase phase = ConnectionPhase::Idle;
        Deadline deadline;
        /// From when another connection may take the place of this one.
        Deadline replaceableFrom;
        std::size_t held = 0;
    };
    using Connections = std::unordered_map<Key, Connection>;

    /// What is read beyond a limit, so that the server sees that the limit is passed.
    static constexpr std::size_t readMarginBytes = 4096;

    Deadline deadlineOf(ConnectionPhase phase, Instant now) const
    {
        switch (phase) {
        case ConnectionPhase::Idle:
            return Deadline::after(now, this->limits.idleTimeout);
        case ConnectionPhase::Headers:
            return Deadline::after(now, this->limits.headerTimeout);
        case ConnectionPhase::Body:
            return Deadline::after(now, this->limits.bodyTimeout);
        case ConnectionPhase::Writing:
            return Deadline::after(now, this->limits.writeTimeout);
        case ConnectionPhase::Handling:
            // Handlers have deadlines of their own.
            break;
        }
        return Deadline::never();
    }

    /// The connection that comes first by the order among those that can be closed.
    template <typename Order> typename Connections::iterator firstClosable(Order isBefore)
    {
        auto first = this->connections.end();
        for (auto candidate = this->connections.begin(); candidate != this->connections.end(); ++candidate) {
            bool isClosable = candidate->second.phase != ConnectionPhase::Handling;
            if (isClosable && (first == this->connections.end() || isBefore(candidate->second, first->second)))
                first = candidate;
        }
        return first;
    }

    ConnectionClosing<Key> take(typename Connections::iterator taken, CloseReason reason)
    {
        ConnectionClosing<Key> closing { taken->first, reason, taken->second.phase, taken->second.held };
        this->remove(closing.connection);
        return closing;
    }

    ConnectionLimits limits;
    Connections connections;
    std::size_t held = 0;
};

} // namespace Greengage
