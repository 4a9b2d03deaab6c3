#include "control/configuration_state.h"

#include <algorithm>
#include <set>

namespace balsamhook
{

namespace
{

constexpr std::size_t MaxDocuments = 8;
/// A document has about twenty sections, most of which stay the same from one revision to the next. An evicted section is fetched again.
constexpr std::size_t MaxSections = 256;

} // namespace

configuration_state::configuration_state()
{
    m_documents[0] = std::make_shared<configuration_document>();
    m_text = documentText(*m_documents[0]);
}

std::uint64_t configuration_state::revision() const
{
    return m_root.revision;
}

const configuration_root &configuration_state::root() const
{
    return m_root;
}

document_pointer configuration_state::document() const
{
    return m_documents.at(m_root.revision);
}

const std::string &configuration_state::text() const
{
    return m_text;
}

document_pointer configuration_state::findDocument(std::uint64_t revision) const
{
    const auto found = m_documents.find(revision);
    return found == m_documents.end() ? nullptr : found->second;
}

const std::string *configuration_state::findSection(std::string_view hash) const
{
    const auto found = m_sections.find(hash);
    return found == m_sections.end() ? nullptr : &found->second;
}

std::vector<std::string> configuration_state::missingSections(const configuration_root &root) const
{
    // A set, because sections with the same text, for example empty ones, have the same hash.
    std::set<std::string> missing;
    for (const auto &[name, hash] : root.sections) {
        if (m_sections.count(hash) == 0) {
            missing.insert(hash);
        }
    }
    return {missing.begin(), missing.end()};
}

void configuration_state::addSection(const section_text &section)
{
    if (contentHash(section.text) != section.hash || !m_sections.emplace(section.hash, section.text).second) {
        return;
    }
    m_sectionOrder.push_back(section.hash);
    const auto isActive = [this](const std::string &hash) {
        return std::any_of(m_root.sections.begin(), m_root.sections.end(), [&](const auto &section) { return section.second == hash; });
    };
    if (m_sectionOrder.size() <= MaxSections) {
        return;
    }
    const auto oldest = std::find_if_not(m_sectionOrder.begin(), m_sectionOrder.end(), isActive);
    if (oldest != m_sectionOrder.end()) {
        m_sections.erase(*oldest);
        m_sectionOrder.erase(oldest);
    }
}

result<document_pointer> configuration_state::join(const configuration_root &root) const
{
    std::vector<section_text> texts;
    texts.reserve(root.sections.size());
    for (const auto &[name, hash] : root.sections) {
        if (const std::string *text = findSection(hash)) {
            texts.push_back({hash, *text});
        }
    }
    BOOST_OUTCOME_TRY(document, joinSections(root, texts));
    return document_pointer(std::make_shared<configuration_document>(std::move(document)));
}

result<bool> configuration_state::activate(const configuration_root &root)
{
    if (root.revision <= m_root.revision) {
        return false;
    }
    BOOST_OUTCOME_TRY(document, join(root));
    m_root = root;
    m_text = documentText(*document);
    m_documents[root.revision] = std::move(document);
    if (m_documents.size() > MaxDocuments) {
        m_documents.erase(m_documents.begin());
    }
    return true;
}

} // namespace balsamhook
