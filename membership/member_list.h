#pragma once

#include "base/base.h"
#include "wire/wire.h"

#include <map>
#include <string>
#include <vector>

namespace balsamhook
{

/// One member with the incarnation that distinguishes successive processes of the instance.
struct listed_member
{
    member_entry entry;
    std::string incarnation;
    std::uint64_t joined = 0; ///< Version of the first list with this incarnation.
};

/// The object members/list. It determines the assignment on its own: it includes the configuration root that the assignment uses, so that all
/// inputs of the assignment are totally ordered by the list version.
struct member_list
{
    std::uint64_t version = 0; ///< 0 when there is no list yet.
    std::string nonce;
    std::uint64_t revision = 0; ///< Configuration revision of the assignment; 0 means the empty configuration.
    std::string root; ///< Text of that revision's root object; empty for revision 0.
    std::vector<listed_member> members; ///< Sorted by instance.
    std::vector<std::string> previous; ///< Instances of the previous version.

    /// Returns the member, or nullptr. The pointer is valid until the list changes.
    const listed_member *find(std::string_view instance) const;

    /// Returns whether this incarnation of the instance is a member.
    bool contains(std::string_view instance, std::string_view incarnation) const;

    std::vector<member_entry> entries() const;
};

/// Parses the text of the object members/list. Errors: Invalid.
result<member_list> parseMemberList(std::string_view text);
std::string memberListText(const member_list &list);

/// The lease of one member in the object leases/<data centre>.
struct lease_entry
{
    std::string incarnation;
    std::uint64_t sequence = 0; ///< Newest heartbeat that the reporter had received when it wrote the lease.
    std::uint64_t revokedAt = 0; ///< Member list version under which the lease was revoked; 0 when it isn't revoked.
};

/// The object leases/<data centre>.
struct lease_table
{
    std::uint64_t listVersion = 0; ///< Newest member list version of any writer. A writer with an older list could renew the lease of a removed member.
    std::map<std::string, lease_entry, std::less<>> entries; ///< By instance.

    /// Returns the lease of this incarnation, or a lease with sequence 0 when there is none.
    lease_entry find(std::string_view instance, std::string_view incarnation) const;
};

/// Parses the text of a lease object. Errors: Invalid.
result<lease_table> parseLeases(std::string_view text);
std::string leasesText(const lease_table &leases);

} // namespace balsamhook
