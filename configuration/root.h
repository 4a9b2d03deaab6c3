#pragma once

#include "configuration/document.h"
#include "wire/wire.h"

namespace balsamhook
{

/// Number of earlier revisions whose origin a root keeps. A lost answer is settled as long as no more revisions than these came after it.
constexpr std::size_t MostEarlierOrigins = 32;

/// Who made a revision.
struct root_origin
{
    std::string nonce;
    std::string plan;
};

/// The root object: names the sections that make up the configuration of one revision.
struct configuration_root
{
    std::uint64_t revision = 0;
    std::map<std::string, std::string, std::less<>> sections; ///< Section name (data_centres, services-0.., targets-0..) to content hash.
    std::string nonce; ///< Of the writer; settles lost answers.
    std::string plan; ///< Plan that made this revision.
    std::vector<root_origin> earlier; ///< Of the revisions before this one, newest first: settles a lost answer after others wrote.
};

result<configuration_root> parseRoot(std::string_view json);
std::string rootText(const configuration_root &root);

/// Splits a document into its sections, each with its hash; sections with the same text are listed once.
std::vector<section_text> splitSections(const configuration_document &document);

/// Returns the names of the document's sections with their hashes.
std::map<std::string, std::string, std::less<>> sectionHashes(const configuration_document &document);

/// Makes the root of a document. Precondition: nonce isn't empty.
configuration_root makeRoot(const configuration_document &document, std::uint64_t revision, std::string nonce, std::string plan);

/// Makes the root of the revision that follows another one. Precondition: nonce isn't empty.
configuration_root makeNextRoot(const configuration_root &previous, const configuration_document &document, std::string nonce, std::string plan);

/// Joins the sections named by the root. NotFound when a section is missing, Invalid when a text doesn't match its hash or the document is invalid.
result<configuration_document> joinSections(const configuration_root &root, const std::vector<section_text> &texts);

} // namespace balsamhook
