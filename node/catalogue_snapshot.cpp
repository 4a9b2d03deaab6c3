#include "node/catalogue_snapshot.h"

#include "platform/platform.h"

namespace balsamhook
{

using json = nlohmann::json;

namespace
{

template<typename content_type>
void encodeKind(json &body, const char *name, const std::optional<kind_copy<content_type>> &copy)
{
    if (copy) {
        body[name] = {{"complete_through", copy->revisions.completeThrough}, {"newest", copy->revisions.newest}, {"content", copy->content}};
    }
}

/// Throws json::exception if the content has another type.
template<typename content_type>
std::optional<kind_copy<content_type>> decodeKind(const json &body, const char *name)
{
    const auto found = body.find(name);
    if (found == body.end()) {
        return std::nullopt;
    }
    kind_copy<content_type> copy;
    copy.revisions = {found->at("complete_through").get<std::uint64_t>(), found->at("newest").get<std::uint64_t>()};
    copy.content = found->at("content").get<content_type>();
    return copy;
}

} // namespace

std::string encodeSnapshot(const catalogue_snapshot &snapshot)
{
    json body = json::object();
    if (snapshot.era) {
        body["era"] = *snapshot.era;
    }
    encodeKind(body, "configuration", snapshot.configuration);
    encodeKind(body, "targets", snapshot.targets);
    encodeKind(body, "evacuations", snapshot.evacuations);
    return body.dump();
}

std::optional<catalogue_snapshot> decodeSnapshot(std::string_view text)
{
    const std::optional<json> parsed = parseBounded(text);
    if (!parsed || !parsed->is_object()) {
        return std::nullopt;
    }
    const json &body = *parsed;
    try {
        catalogue_snapshot snapshot;
        if (const auto era = body.find("era"); era != body.end()) {
            snapshot.era = era->get<std::uint64_t>();
        }
        snapshot.configuration = decodeKind<json>(body, "configuration");
        snapshot.targets = decodeKind<std::map<std::string, json>>(body, "targets");
        snapshot.evacuations = decodeKind<std::set<std::string>>(body, "evacuations");
        return snapshot;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace balsamhook
