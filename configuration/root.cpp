#include "configuration/root.h"

#include "configuration/document_json.h"

#include <algorithm>
#include <map>

namespace balsamhook
{

namespace
{

using nlohmann::json;

// Lists that grow with the site are divided into sections by the hash of the entries' names. A single section of 3,000 targets has 416 KB, which
// at 290 changes a day would load an instance with 1.4 KB a second.
constexpr std::size_t ServiceSections = 4;
constexpr std::size_t TargetSections = 16;
constexpr std::size_t HashDigits = 32;
constexpr std::size_t MaxNonceBytes = 128;
constexpr number_range Revision{1, (std::uint64_t(1) << 53U) - 1};

std::string sectionName(const std::string &list, std::size_t number)
{
    return list + "-" + std::to_string(number);
}

std::vector<std::string> makeSectionNames()
{
    std::vector<std::string> names{"data_centres"};
    for (std::size_t i = 0; i < ServiceSections; ++i) {
        names.push_back(sectionName("services", i));
    }
    for (std::size_t i = 0; i < TargetSections; ++i) {
        names.push_back(sectionName("targets", i));
    }
    return names;
}

const std::vector<std::string> SectionNames = makeSectionNames();

/// Returns the list of the document that a section belongs to.
std::string listNameOf(std::string_view section)
{
    return std::string(section.substr(0, section.find('-')));
}

/// Distributes the entries of one list over its sections. Empty sections are included.
void partition(const json &entries, const std::string &list, std::size_t sectionCount, std::map<std::string, json> &sections)
{
    for (std::size_t i = 0; i < sectionCount; ++i) {
        sections[sectionName(list, i)] = json::array();
    }
    for (const json &entry : entries) {
        sections[sectionName(list, stableHash(entry.at("name").get<std::string>()) % sectionCount)].push_back(entry);
    }
}

/// Returns the text of each section by name.
std::map<std::string, std::string> sectionTexts(const configuration_document &document)
{
    const json complete = toJson(document);
    std::map<std::string, json> sections{{"data_centres", complete.at("data_centres")}};
    partition(complete.at("services"), "services", ServiceSections, sections);
    partition(complete.at("targets"), "targets", TargetSections, sections);
    std::map<std::string, std::string> texts;
    for (const auto &[name, entries] : sections) {
        texts.emplace(name, jsonText(entries));
    }
    return texts;
}

bool isHash(const std::string &text)
{
    const auto isDigit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return text.size() == HashDigits && std::all_of(text.begin(), text.end(), isDigit);
}

std::string readNonce(json_reader &reader)
{
    std::string nonce = reader.text("nonce", MaxNonceBytes);
    if (nonce.empty()) {
        reader.addError("nonce", "value '' is not a text of 1 to " + std::to_string(MaxNonceBytes) + " bytes");
    }
    return nonce;
}

root_origin readOrigin(const json &value, const std::string &path, validation_errors &errors)
{
    json_reader reader(value, path, errors);
    root_origin origin;
    origin.nonce = readNonce(reader);
    origin.plan = reader.text("plan", MaxNonceBytes);
    reader.rejectUnknownFields();
    return origin;
}

void readSections(json_reader &reader, configuration_root &root, validation_errors &errors)
{
    json_reader sections(reader.any("sections"), "sections", errors);
    for (const std::string &name : SectionNames) {
        std::string hash = sections.text(name, HashDigits);
        if (!isHash(hash)) {
            sections.addError(name, "value " + valueExcerpt(hash) + " is not a hash of 32 hexadecimal digits");
        }
        root.sections[name] = std::move(hash);
    }
    sections.rejectUnknownFields();
}

result<std::string> findSection(const std::string &name, const std::string &hash, const std::vector<section_text> &texts)
{
    const auto found = std::find_if(texts.begin(), texts.end(), [&hash](const section_text &section) { return section.hash == hash; });
    if (found == texts.end()) {
        return failure(error_code::NotFound, error_step::Store, "", "section " + name + " with hash " + hash + " is missing");
    }
    if (contentHash(found->text) != hash) {
        return failure(error_code::Invalid, error_step::Validate, "", "the text of section " + name + " does not match its hash " + hash);
    }
    return found->text;
}

} // namespace

result<configuration_root> parseRoot(std::string_view text)
{
    BOOST_OUTCOME_TRY(value, parseStrictJson(text));
    validation_errors errors;
    json_reader reader(value, "", errors);
    configuration_root root;
    root.revision = reader.number("revision", Revision);
    readSections(reader, root, errors);
    root.nonce = readNonce(reader);
    root.plan = reader.text("plan", MaxNonceBytes);
    if (reader.has("earlier")) {
        const json &earlier = reader.list("earlier", MaxEarlierOrigins);
        for (std::size_t i = 0; i < earlier.size(); ++i) {
            root.earlier.push_back(readOrigin(earlier[i], "earlier[" + std::to_string(i) + "]", errors));
        }
    }
    reader.rejectUnknownFields();
    if (!errors.isEmpty()) {
        return errors.first();
    }
    return root;
}

std::string rootText(const configuration_root &root)
{
    json sections = json::object();
    for (const auto &[name, hash] : root.sections) {
        sections[name] = hash;
    }
    json earlier = json::array();
    for (const root_origin &origin : root.earlier) {
        earlier.push_back({{"nonce", origin.nonce}, {"plan", origin.plan}});
    }
    const json value = {{"revision", root.revision}, {"sections", sections}, {"nonce", root.nonce}, {"plan", root.plan}, {"earlier", earlier}};
    return jsonText(value);
}

std::vector<section_text> splitSections(const configuration_document &document)
{
    std::vector<section_text> texts;
    for (auto &[name, text] : sectionTexts(document)) {
        std::string hash = contentHash(text);
        const bool isListed = std::any_of(texts.begin(), texts.end(), [&hash](const section_text &listed) { return listed.hash == hash; });
        if (!isListed) {
            texts.push_back({std::move(hash), text});
        }
    }
    return texts;
}

std::map<std::string, std::string, std::less<>> sectionHashes(const configuration_document &document)
{
    std::map<std::string, std::string, std::less<>> hashes;
    for (const auto &[name, text] : sectionTexts(document)) {
        hashes.emplace(name, contentHash(text));
    }
    return hashes;
}

configuration_root makeRoot(const configuration_document &document, std::uint64_t revision, std::string nonce, std::string plan)
{
    BALSAM_ASSERT(!nonce.empty());
    configuration_root root;
    root.revision = revision;
    root.sections = sectionHashes(document);
    root.nonce = std::move(nonce);
    root.plan = std::move(plan);
    return root;
}

configuration_root makeNextRoot(const configuration_root &previous, const configuration_document &document, std::string nonce, std::string plan)
{
    configuration_root root = makeRoot(document, previous.revision + 1, std::move(nonce), std::move(plan));
    root.earlier.push_back({previous.nonce, previous.plan});
    root.earlier.insert(root.earlier.end(), previous.earlier.begin(), previous.earlier.end());
    root.earlier.resize(std::min(root.earlier.size(), MaxEarlierOrigins));
    return root;
}

result<configuration_document> joinSections(const configuration_root &root, const std::vector<section_text> &texts)
{
    if (root.sections.size() != SectionNames.size()) {
        return failure(error_code::Invalid, error_step::Validate, "", "the root doesn't list all sections");
    }
    json complete = {{"data_centres", json::array()}, {"services", json::array()}, {"targets", json::array()}};
    for (const auto &[name, hash] : root.sections) {
        BOOST_OUTCOME_TRY(text, findSection(name, hash, texts));
        BOOST_OUTCOME_TRY(entries, parseStrictJson(text));
        json &list = complete[listNameOf(name)];
        if (!entries.is_array()) {
            return failure(error_code::Invalid, error_step::Validate, "", "section " + name + " is not a list");
        }
        list.insert(list.end(), entries.begin(), entries.end());
    }
    return parseDocument(jsonText(complete));
}

} // namespace balsamhook
