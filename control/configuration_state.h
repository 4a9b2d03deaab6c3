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

/// The configuration in force on this controller and the sections that it knows. Revisions only increase. Not thread-safe.
class configuration_state
{
public:
    configuration_state();

    /// 0 while no configuration was ever confirmed.
    std::uint64_t revision() const;

    /// The root in force; revision 0 without sections at first.
    const configuration_root &root() const;

    document_pointer document() const;

    /// JSON text of the document in force.
    const std::string &text() const;

    /// A document that was in force earlier; nullptr when it is no longer known.
    document_pointer find(std::uint64_t revision) const;

    const std::string *findSection(std::string_view hash) const;

    /// Hashes that the root names and that aren't known.
    std::vector<std::string> missingSections(const configuration_root &root) const;

    /// Keeps a section for later. A text that doesn't match its hash is ignored.
    void addSection(const section_text &section);

    /// Joins the sections of a root into its document. NotFound when a section is missing.
    result<document_pointer> join(const configuration_root &root) const;

    /// Puts a root in force when its revision is greater than the present one. Returns false when it isn't.
    result<bool> advance(const configuration_root &root);

private:
    configuration_root m_root;
    std::string m_text;
    std::map<std::uint64_t, document_pointer> m_documents; ///< By revision, bounded.
    std::map<std::string, std::string, std::less<>> m_sections;
    std::deque<std::string> m_sectionOrder; ///< Oldest first.
};

} // namespace balsamhook
