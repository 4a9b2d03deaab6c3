#pragma once

#include <cstddef>
#include <memory>

namespace balsamhook
{

/// Bounds the memory of all responses that a process receives or holds at one time, so that peers that send without end can't fill it. A response may take no
/// more than what the others leave free, so one alone takes half of the limit at most, and a few large ones leave room for the others; small ones are always
/// let through. Not thread-safe.
class response_memory
{
public:
    /// Memory that each response gets in any case.
    static constexpr std::size_t SmallResponseBytes = 8 * 1024;

    /// The memory that is counted for one response, until the object is destroyed. May outlive the response_memory.
    class holding
    {
    public:
        explicit holding(std::shared_ptr<std::size_t> used, std::size_t limit);
        ~holding();
        holding(const holding &) = delete;
        holding &operator=(const holding &) = delete;

        /// Sets the number of bytes that the response takes. Returns false, and counts what it took before, if it has to be given up.
        bool resize(std::size_t bytes);

    private:
        std::shared_ptr<std::size_t> m_used;
        std::size_t m_limit;
        std::size_t m_bytes = 0;
    };

    /// Shared by the copies of a response.
    using holding_pointer = std::shared_ptr<holding>;

    explicit response_memory(std::size_t limitBytes);

    /// Returns the holding of a new response.
    holding_pointer hold() const;

    /// Bytes that all holdings take.
    std::size_t used() const;

private:
    std::shared_ptr<std::size_t> m_used = std::make_shared<std::size_t>(0);
    std::size_t m_limit;
};

} // namespace balsamhook
