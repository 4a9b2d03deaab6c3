#include "configuration/root.h"

#include "configuration/document_json.h"

#include <algorithm>
#include <array>

namespace balsamhook
{

namespace
{

using nlohmann::json;

const std::array<std::string, 3> SectionNames{"data_centres", "services", "targets"};
constexpr std::size_t HashDigits = 32;
constexpr std::size_t LongestNonceBytes = 128;
constexpr number_range Revision{1, (std::uint64_t(1) << 53U) - 1};

bool isHash(const std::string &text)
{
    const auto isDigit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return text.size() == HashDigits && std::all_of(text.begin(), text.end(), isDigit);
}

std::string readNonce(json_reader &reader)
{
    std::string nonce = reader.text("nonce", LongestNonceBytes);
    if (nonce.empty()) {
        reader.complain("nonce", "value '' is not a text of 1 to " + std::to_string(LongestNonceBytes) + " bytes");
    }
    return nonce;
}

root_origin readOrigin(const json &value, const std::string &path, complaints &found)
{
    json_reader reader(value, path, found);
    root_origin origin;
    origin.nonce = readNonce(reader);
    origin.plan = reader.text("plan", LongestNonceBytes);
    reader.finish();
    return origin;
}

void readSections(json_reader &reader, configuration_root &root, complaints &found)
{
    json_reader sections(reader.any("sections"), "sections", found);
    for (const std::string &name : SectionNames) {
        std::string hash = sections.text(name, HashDigits);
        if (!isHash(hash)) {
            sections.complain(name, "value " + shownValue(hash) + " is not a hash of 32 hexadecimal digits");
        }
        root.sections[name] = std::move(hash);
    }
    sections.finish();
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
    complaints found;
    json_reader reader(value, "", found);
    configuration_root root;
    root.revision = reader.number("revision", Revision);
    readSections(reader, root, found);
    root.nonce = readNonce(reader);
    root.plan = reader.text("plan", LongestNonceBytes);
    if (reader.has("earlier")) {
        const json &earlier = reader.list("earlier", MostEarlierOrigins);
        for (std::size_t i = 0; i < earlier.size(); ++i) {
            root.earlier.push_back(readOrigin(earlier[i], "earlier[" + std::to_string(i) + "]", found));
        }
    }
    reader.finish();
    if (!found.isEmpty()) {
        return found.first();
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
    const json whole = toJson(document);
    std::vector<section_text> texts;
    for (const std::string &name : SectionNames) {
        std::string text = jsonText(whole.at(name));
        std::string hash = contentHash(text);
        texts.push_back({std::move(hash), std::move(text)});
    }
    return texts;
}

std::map<std::string, std::string, std::less<>> sectionHashes(const configuration_document &document)
{
    std::map<std::string, std::string, std::less<>> hashes;
    const std::vector<section_text> texts = splitSections(document);
    for (std::size_t i = 0; i < SectionNames.size(); ++i) {
        hashes[SectionNames[i]] = texts[i].hash;
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
    root.earlier.resize(std::min(root.earlier.size(), MostEarlierOrigins));
    return root;
}

result<configuration_document> joinSections(const configuration_root &root, const std::vector<section_text> &texts)
{
    std::string whole;
    for (const auto &[name, hash] : root.sections) {
        BOOST_OUTCOME_TRY(text, findSection(name, hash, texts));
        whole += (whole.empty() ? "{" : ",") + jsonText(name) + ":" + text;
    }
    return parseDocument(whole + "}");
}

} // namespace balsamhook
