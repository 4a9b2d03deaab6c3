#pragma once

#include <cstdint>

namespace balsamhook
{

/// What a copy of all objects of one kind reflects, in revisions of one era of the store: every object as it was at some revision between the two.
struct copy_revisions
{
    std::uint64_t completeThrough = 0; ///< All changes up to this revision are applied.
    std::uint64_t newest = 0; ///< No later change is applied.

    bool operator==(const copy_revisions &other) const = default;
};

/// Progress of an instance's copy of one kind of objects, which is read from the store or taken from a peer. Decides what may be applied, so that no object
/// goes back to an earlier revision of an era, whichever answers arrive late. Pure logic; not thread-safe.
class copy_progress
{
public:
    /// Identifies the state of the copy when a call to the store began; another one after each change of it that isn't due to such a call.
    using call_token = std::uint64_t;

    /// To be called when a call to the store begins.
    call_token beginCall() const;

    /// True if a page of a list, read at the given revision, may be applied; it counts as applied then. False if the copy was replaced or discarded since the
    /// call began, or if it already reflects later changes.
    bool acceptPage(call_token call, std::uint64_t revision);

    /// All pages were applied, and objects that they don't contain were removed. The revision is that of the first page, so that a watch from there repeats
    /// what changed while the later pages were read. Precondition: acceptPage() returned true for each page.
    void onListed(std::uint64_t firstRevision);

    /// True if the changes that a watch returned, up to the given revision, may be applied; they count as applied then. Precondition: isListed().
    bool acceptChanges(call_token call, std::uint64_t revision);

    /// True if a peer's copy with these revisions replaces this one as a whole; the copy counts as replaced and listed then.
    bool acceptPeerCopy(const copy_revisions &offered);

    /// The store has discarded the history after completeThrough, so the objects have to be listed again. The copy stays in use meanwhile; calls that are under
    /// way are of no use any more.
    void onHistoryExpired();

    /// The store has begun another era, so its revisions can't be compared with those that the copy reflects; all objects have to be listed again. The copy
    /// stays in use meanwhile.
    void beginEra();

    /// Discards the copy.
    void reset();

    /// True if a watch can continue from completeThrough.
    bool isListed() const;

    /// True once the copy was complete since it was last discarded.
    bool isComplete() const;

    const copy_revisions &revisions() const;

private:
    copy_revisions m_revisions;
    call_token m_replacements = 0; ///< Number of times that the copy was replaced or discarded, or its era or history ended.
    bool m_isListed = false;
    bool m_isComplete = false;
};

} // namespace balsamhook
