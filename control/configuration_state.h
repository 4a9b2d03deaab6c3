#pragma once

#include "configuration/configuration.h"
#include "membership/membership.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsamhook
{

/// The active configuration of this controller and a bounded cache of sections. Revisions only increase. Not thread-safe.
class configuration_state
{
public:
    configuration_state();

    /// 0 until a root has been activated.
    std::uint64_t revision() const;

    /// The active root. Before the first activation it has revision 0 and no sections.
    const configuration_root &root() const;

    document_pointer document() const;

    /// JSON text of the active document.
    const std::string &text() const;

    /// The document of the active or an earlier revision; nullptr when it isn't stored.
    document_pointer findDocument(std::uint64_t revision) const;

    /// The text of a section; nullptr when it isn't stored.
    const std::string *findSection(std::string_view hash) const;

    /// Hashes that the root lists and whose sections aren't stored.
    std::vector<std::string> missingSections(const configuration_root &root) const;

    /// Stores a section and evicts the oldest one outside the active root when the cache is full. Ignores a text that doesn't match its hash.
    void addSection(const section_text &section);

    /// Joins the sections of a root into its document. NotFound when a section isn't stored.
    result<document_pointer> join(const configuration_root &root) const;

    /// Makes a root the active one. Returns false, without effect, unless its revision is greater than the active one. Errors as join().
    result<bool> activate(const configuration_root &root);

private:
    configuration_root m_root;
    std::string m_text;
    std::map<std::uint64_t, document_pointer> m_documents; ///< By revision; bounded.
    std::map<std::string, std::string, std::less<>> m_sections; ///< Texts by hash.
    std::deque<std::string> m_sectionOrder; ///< Hashes in the order of their insertion.
};

} // namespace balsamhook
