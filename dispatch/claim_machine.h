#pragma once

#include <cstdint>
#include <memory>

namespace balsamhook
{

/// Life of one command's claim at its owner. Only a command that is Claimed may be sent, and it is sent once.
enum class claim_state : std::uint8_t {
    Queued, ///< Surely not in the store.
    Writing,
    Settling, ///< A write was sent and its effect isn't known.
    Rewriting, ///< Written again while an earlier write may have taken effect.
    Claimed, ///< In the store, nothing sent.
    Sent,
    Recording, ///< The outcome is known and waits to be written to the store.
    Releasing, ///< The command wasn't started; the claim, if there is one, waits to be removed from the store.
    Done,
};

enum class claim_event : std::uint8_t {
    WriteStarted,
    WriteConfirmed,
    WriteRefused, ///< The write surely had no effect.
    WriteUnsettled,
    FoundOwn, ///< Read back with this claim's nonce.
    FoundAbsent, ///< Read back without this claim, and no earlier write can take effect any more.
    Withdrawn, ///< The command must not be sent any more.
    RunStarted,
    Ended, ///< The target may have run the command.
    NotStarted, ///< The target surely didn't run the command.
    Stored, ///< The outcome, or the removal of the claim, is in the store.
};

/// State machine of one claim. An event that has no meaning in the present state is ignored. Not thread-safe.
class claim_machine
{
public:
    claim_machine();
    ~claim_machine();
    claim_machine(claim_machine &&other) noexcept;
    claim_machine &operator=(claim_machine &&other) noexcept;

    void process(claim_event event);
    claim_state state() const;

private:
    struct table;
    std::unique_ptr<table> m_table;
};

} // namespace balsamhook
