#pragma once

#include <cstdint>
#include <memory>

namespace balsamhook
{

/// State of a command's claim at its owner. A command is sent only from Claimed, and only once.
enum class claim_state : std::uint8_t {
    Queued, ///< The store has no claim of this command.
    Writing, ///< The first write is in flight.
    Settling, ///< A write was sent and its result is unknown.
    Rewriting, ///< Another write is in flight while an earlier one may still take effect.
    Claimed, ///< The claim is stored and the command isn't sent yet.
    Sent,
    Recording, ///< The outcome is known and must be written to the store.
    Releasing, ///< The command wasn't started, so a stored claim must be removed.
    Done,
};

enum class claim_event : std::uint8_t {
    WriteStarted,
    WriteConfirmed,
    WriteRefused, ///< The write definitely had no effect.
    WriteUnsettled,
    FoundPresent, ///< A read returned the claim with this command's nonce.
    FoundAbsent, ///< A read returned no such claim, and no earlier write can still take effect.
    Withdrawn, ///< The command must no longer be sent.
    RunStarted,
    Ended, ///< The target may have run the command.
    NotStarted, ///< The target definitely didn't run the command.
    Stored, ///< The outcome or the removal of the claim is stored.
};

/// State machine of one claim. Events without a transition from the current state are ignored. Not thread-safe.
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
