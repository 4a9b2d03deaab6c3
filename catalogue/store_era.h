#pragma once

#include <cstdint>
#include <optional>

namespace balsamhook
{

/// The era of the store that an instance follows. The store begins a new era each time that it comes back from an older copy; revisions are given out again
/// then, so they can be compared within one era only. Pure logic; not thread-safe.
class store_era
{
public:
    enum class verdict : std::uint8_t {
        Current, ///< The answer belongs to the era that is followed.
        Outdated, ///< The answer belongs to an era that is followed no longer.
        Changed, ///< The answer belongs to another era, which is followed from now on.
    };

    /// Identifies the era that was followed when a call began.
    using call_token = std::uint64_t;

    /// To be called when a call to the store begins.
    call_token beginCall() const;

    /// Judges an answer that shows the store as it is. The era is that which the answer names, if any. An earlier era than the followed one counts only if the
    /// call began after that one was followed: such an answer is not late, so the followed era was wrong.
    verdict observe(std::optional<std::uint64_t> named, call_token call);

    /// Judges an answer that may be old, or a peer's: only a later era than the followed one counts.
    verdict observeHint(std::optional<std::uint64_t> named);

    /// Returns the followed era; empty while none was named.
    std::optional<std::uint64_t> followed() const;

    /// Forgets the followed era.
    void reset();

private:
    verdict follow(std::uint64_t named);

    std::optional<std::uint64_t> m_followed;
    call_token m_changes = 0; ///< Number of times that another era was followed, or forgotten.
    bool m_hasUnnamed = false; ///< An answer has named no era while none was followed.
};

} // namespace balsamhook
