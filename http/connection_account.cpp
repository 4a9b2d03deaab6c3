#include "http/connection_account.h"

#include "base/assert.h"

#include <algorithm>
#include <utility>

namespace balsamhook
{

std::string_view nameOf(shortage kind)
{
    switch (kind) {
    case shortage::Memory:
        return "memory";
    case shortage::Connections:
        return "connections";
    }
    return "unknown";
}

struct connection_account::state
{
    /// Compared first by what is held times the age, then by the age.
    using weight = std::pair<double, double>;

    state(limits limitsAllowed, std::function<clock::time_point()> currentTime)
        : allowed(limitsAllowed)
        , now(std::move(currentTime))
    {
    }

    bool isShort(shortage kind) const
    {
        return kind == shortage::Memory ? bytes > allowed.bytes : entries.size() > allowed.connections;
    }

    static weight weightOf(const entry &candidate, shortage kind, clock::time_point at)
    {
        const double age = std::chrono::duration<double>(at - candidate.m_since).count();
        // Where memory is short, an idle connection or a small request doesn't go before a large one that is younger.
        const std::size_t ignored = kind == shortage::Memory ? std::min(ConnectionBytes + SmallBytes, candidate.m_bytes) : 0;
        return {static_cast<double>(candidate.m_bytes - ignored) * age, age};
    }

    entry *heaviest(shortage kind) const
    {
        const auto at = now();
        entry *found = nullptr;
        weight most;
        for (entry *candidate : entries) {
            if (candidate->m_isBusy) {
                continue;
            }
            const weight candidateWeight = weightOf(*candidate, kind, at);
            if (found == nullptr || candidateWeight > most) {
                found = candidate;
                most = candidateWeight;
            }
        }
        return found;
    }

    /// Evicts others until nothing is short. Returns false if that needs the requester's own eviction or isn't possible.
    bool makeRoom(shortage kind, const entry *requester)
    {
        while (isShort(kind)) {
            entry *victim = heaviest(kind);
            if (victim == nullptr || victim == requester) {
                return false;
            }
            evict(*victim, kind);
        }
        return true;
    }

    void evict(entry &victim, shortage kind)
    {
        const std::size_t held = victim.m_bytes;
        remove(victim);
        if (evicted) {
            evicted(kind, held);
        }
        if (victim.m_evicted) {
            victim.m_evicted();
        }
    }

    void remove(entry &removed)
    {
        BALSAM_ASSERT(bytes >= removed.m_bytes);
        bytes -= removed.m_bytes;
        removed.m_isListed = false;
        std::erase(entries, &removed);
    }

    limits allowed;
    std::function<clock::time_point()> now;
    std::function<void(shortage kind, std::size_t bytes)> evicted;
    std::vector<entry *> entries;
    std::size_t bytes = 0; ///< Of all entries, and held besides.
    std::size_t heldBytes = 0;
};

namespace
{

/// Bytes that count for no connection.
template<typename account_state>
class held_bytes
{
public:
    held_bytes(std::shared_ptr<account_state> account, std::size_t bytes)
        : m_account(std::move(account))
        , m_bytes(bytes)
    {
        m_account->bytes += m_bytes;
        m_account->heldBytes += m_bytes;
    }

    ~held_bytes()
    {
        m_account->bytes -= m_bytes;
        m_account->heldBytes -= m_bytes;
    }

    held_bytes(const held_bytes &) = delete;
    held_bytes &operator=(const held_bytes &) = delete;

private:
    std::shared_ptr<account_state> m_account;
    std::size_t m_bytes;
};

} // namespace

connection_account::connection_account(limits allowed, std::function<clock::time_point()> now)
    : m_state(std::make_shared<state>(allowed, std::move(now)))
{
}

void connection_account::setLimits(const limits &allowed)
{
    m_state->allowed = allowed;
}

void connection_account::onEvicted(std::function<void(shortage kind, std::size_t bytes)> handler)
{
    m_state->evicted = std::move(handler);
}

connection_account::entry_pointer connection_account::admit() const
{
    auto admitted = std::make_unique<entry>(m_state);
    // The new connection is the lightest one, so it is evicted only if all others are busy.
    const bool hasRoom = m_state->makeRoom(shortage::Connections, admitted.get()) && m_state->makeRoom(shortage::Memory, admitted.get());
    return hasRoom ? std::move(admitted) : nullptr;
}

std::size_t connection_account::bytes() const
{
    return m_state->bytes;
}

std::size_t connection_account::connections() const
{
    return m_state->entries.size();
}

connection_account::entry::entry(std::shared_ptr<state> account)
    : m_state(std::move(account))
    , m_since(m_state->now())
{
    m_state->entries.push_back(this);
    m_state->bytes += m_bytes;
}

connection_account::entry::~entry()
{
    if (m_isListed) {
        m_state->remove(*this);
    }
}

void connection_account::entry::onEvicted(std::function<void()> handler)
{
    m_evicted = std::move(handler);
}

bool connection_account::entry::resize(std::size_t bytes)
{
    if (!m_isListed) {
        return false;
    }
    m_state->bytes = m_state->bytes - m_bytes + bytes;
    m_bytes = bytes;
    return m_state->makeRoom(shortage::Memory, this);
}

std::shared_ptr<void> connection_account::entry::hold(std::size_t bytes) const
{
    const bool hasRoom = bytes <= SmallBytes || m_state->heldBytes + bytes <= m_state->allowed.bytes / 2;
    return m_isListed && hasRoom ? std::make_shared<held_bytes<state>>(m_state, bytes) : nullptr;
}

void connection_account::entry::onBegin(clock::time_point now)
{
    m_since = now;
}

void connection_account::entry::setBusy(bool isBusy)
{
    m_isBusy = isBusy;
}

} // namespace balsamhook
