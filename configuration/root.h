#pragma once

#include "configuration/document.h"
#include "wire/wire.h"

namespace balsamhook
{

/// Number of earlier revisions whose origin a root records. The outcome of an update with a lost response can be determined while no more revisions
/// than these followed it.
constexpr std::size_t MaxEarlierOrigins = 32;

/// Writer and plan of a revision.
struct root_origin
{
    std::string nonce;
    std::string plan;
};

/// The root object: the list of the sections that form the configuration of one revision.
struct configuration_root
{
    std::uint64_t revision = 0;
    std::map<std::string, std::string, std::less<>> sections; ///< Section name (data_centres, services-0.., targets-0..) to content hash.
    std::string nonce; ///< Identifies the write, to determine its outcome when the response was lost.
    std::string plan; ///< Id of the plan that made this revision.
    std::vector<root_origin> earlier; ///< Origins of the revisions before this one, newest first, for lost responses that later revisions followed.
};

/// Parses the text of a root object. Errors: Invalid.
result<configuration_root> parseRoot(std::string_view text);
std::string rootText(const configuration_root &root);

/// Splits a document into its sections, each with its hash. Sections with the same text are listed once.
std::vector<section_text> splitSections(const configuration_document &document);

/// Maps the names of the document's sections to their hashes.
std::map<std::string, std::string, std::less<>> sectionHashes(const configuration_document &document);

/// Makes the root of a document without earlier origins. Precondition: nonce isn't empty.
configuration_root makeRoot(const configuration_document &document, std::uint64_t revision, std::string nonce, std::string plan);

/// Makes the root of the revision after the previous one. Precondition: nonce isn't empty.
configuration_root makeNextRoot(const configuration_root &previous, const configuration_document &document, std::string nonce, std::string plan);

/// Joins the sections of the root into a document. Errors: NotFound when a section is missing; Invalid when a text doesn't match its hash or the
/// document is invalid.
result<configuration_document> joinSections(const configuration_root &root, const std::vector<section_text> &texts);

} // namespace balsamhook
