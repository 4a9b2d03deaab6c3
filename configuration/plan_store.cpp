#include "configuration/plan_store.h"

#include <algorithm>

namespace balsamhook
{

namespace asio = boost::asio;

namespace
{

const std::string ConfigurationKind = "configuration";
const std::string RootName = "root";
const std::string SectionsKind = "sections";
const std::string PlansKind = "plans";

// Each conflict on the plan object means that another controller advanced the plan, which has only three steps.
constexpr unsigned MaxConfirmAttempts = 4;

struct stored_plan
{
    std::uint64_t version = 0;
    plan content;
};

error invalid(std::string message)
{
    return error{error_code::Invalid, error_step::Validate, "", std::move(message)};
}

error unsettled(const std::string &id)
{
    return error{error_code::Unsettled, error_step::Store, "", "the outcome of plan " + id + " is unknown; confirm it again"};
}

asio::awaitable<result<configuration_document>> readDocumentOf(object_store &store, std::map<std::string, std::string, std::less<>> sections)
{
    configuration_root root;
    root.sections = std::move(sections);
    std::vector<section_text> texts;
    for (const auto &[name, hash] : root.sections) {
        result<stored_object> section = co_await store.read(SectionsKind, hash);
        if (!section) {
            co_return section.error();
        }
        texts.push_back({hash, std::move(section).value().value});
    }
    co_return joinSections(root, texts);
}

asio::awaitable<result<stored_plan>> readStoredPlan(object_store &store, std::string id)
{
    result<stored_object> stored = co_await store.read(PlansKind, id);
    if (!stored) {
        co_return stored.error();
    }
    result<plan> content = parsePlan(stored.value().value);
    if (!content) {
        co_return content.error();
    }
    co_return stored_plan{stored.value().version, std::move(content).value()};
}

/// Stores a plan. A value that was read back counts as this write when its text is the same: a plan in the same state has the same content,
/// whichever controller wrote it.
asio::awaitable<result<std::uint64_t>> writePlan(object_store &store, plan content, std::uint64_t version, settle_options options)
{
    std::string text = planText(content);
    std::string id = content.id;
    std::string kind = PlansKind;
    origin_check check = [text](const stored_object &current) { return current.value == text ? write_origin::ThisWrite : write_origin::OtherWrite; };
    const expected_version expected{version};
    const result<stored_object> written = co_await settleWrite(store, kind, id, expected, text, check, options);
    if (!written) {
        co_return written.error();
    }
    co_return written.value().version;
}

/// Stores the sections that the current root doesn't include. Sections are named by their content hash, so a conflict means that the section is
/// already stored.
asio::awaitable<result<void>> writeSections(object_store &store, configuration_view view, configuration_document document, settle_options options)
{
    std::vector<section_text> texts = splitSections(document);
    const auto isCurrent = [&view](const section_text &section) {
        const auto hasHash = [&section](const auto &named) { return named.second == section.hash; };
        return view.root && std::any_of(view.root->sections.begin(), view.root->sections.end(), hasHash);
    };
    texts.erase(std::remove_if(texts.begin(), texts.end(), isCurrent), texts.end());
    for (section_text &section : texts) {
        std::string kind = SectionsKind;
        origin_check check = [](const stored_object &) { return write_origin::ThisWrite; };
        const expected_version none{0};
        const result<stored_object> written = co_await settleWrite(store, kind, section.hash, none, section.text, check, options);
        if (!written) {
            co_return written.error();
        }
    }
    co_return success();
}

/// Determines from a root that was read back whether the plan's update took effect.
write_origin originOfRoot(const stored_object &current, std::uint64_t baseRevision, const std::string &nonce, const std::string &id)
{
    const result<configuration_root> root = parseRoot(current.value);
    if (!root) {
        return write_origin::Unknown;
    }
    switch (settle(&root.value(), baseRevision, nonce, id)) {
    case settlement::Applied:
        return write_origin::ThisWrite;
    case settlement::Superseded:
        return write_origin::OtherWrite;
    case settlement::Unwritten:
    case settlement::Unknown:
        break;
    }
    return write_origin::Unknown;
}

/// Sends the root update. Returns the event for its outcome.
asio::awaitable<result<plan_event>> updateRoot(object_store &store, configuration_view view, plan confirmed, std::string nonce, settle_options options)
{
    const result<intent> requested = parseIntent(confirmed.intentJson);
    if (!requested) {
        co_return requested.error();
    }
    const result<plan> recomputed = makePlan(view.document, view.revision(), requested.value(), confirmed.intentJson, confirmed.id);
    if (!recomputed) {
        co_return recomputed.error();
    }
    if (recomputed.value().digest != confirmed.digest) {
        co_return invalid("the stored plan doesn't match its digest");
    }
    configuration_document document = applyIntent(view.document, requested.value()).value();
    settle_options sectionOptions = options;
    sectionOptions.isRetry = false;
    const result<void> stored = co_await writeSections(store, view, document, sectionOptions);
    if (!stored) {
        co_return stored.error();
    }
    const configuration_root next = view.root ? makeNextRoot(*view.root, document, nonce, confirmed.id) : makeRoot(document, 1, nonce, confirmed.id);
    origin_check check = [base = view.revision(), nonce, id = confirmed.id](const stored_object &current) { return originOfRoot(current, base, nonce, id); };
    std::string kind = ConfigurationKind;
    std::string name = RootName;
    std::string text = rootText(next);
    const expected_version expected{view.rootVersion};
    const result<stored_object> written = co_await settleWrite(store, kind, name, expected, text, check, options);
    if (written) {
        co_return plan_event::Applied;
    }
    if (written.error().code == error_code::Conflict) {
        co_return plan_event::SettledRefused;
    }
    co_return written.error();
}

/// Returns the changes since the plan's base revision; empty when the base is no longer available.
asio::awaitable<std::vector<std::string>> changesSince(object_store &store, plan stale, configuration_view current)
{
    std::vector<std::string> changes;
    configuration_document base;
    if (!stale.baseSections.empty()) {
        result<configuration_document> read = co_await readDocumentOf(store, stale.baseSections);
        if (!read) {
            co_return changes;
        }
        base = std::move(read).value();
    }
    changes = describeChanges(base, current.document);
    co_return changes;
}

/// Moves the plan to its final state and returns the response for the operator. A failure to store an applied plan doesn't change the outcome: the
/// root determines it, and a later call reads the root.
asio::awaitable<result<confirm_response>> completePlan(object_store &store, stored_plan finished, plan_event event, settle_options options)
{
    plan_machine machine(finished.content.state);
    const bool allowed = machine.process(event);
    BALSAM_ASSERT(allowed);
    finished.content.state = machine.state();
    confirm_response response;
    if (finished.content.state == plan_state::Applied) {
        finished.content.revision = finished.content.baseRevision + 1;
    } else {
        finished.content.refusal = "the configuration changed after revision " + std::to_string(finished.content.baseRevision);
        result<configuration_view> current = co_await readConfiguration(store);
        if (current) {
            response.changes = co_await changesSince(store, finished.content, std::move(current).value());
        }
    }
    response.confirmed = finished.content;
    options.isRetry = false;
    const result<std::uint64_t> written = co_await writePlan(store, finished.content, finished.version, options);
    if (!written && finished.content.state == plan_state::Refused) {
        // Another controller may have advanced the plan in the meantime, so a refusal is final only after it is stored.
        co_return written.error();
    }
    co_return response;
}

/// Confirms a plan once. Errors: as confirmPlan(); Conflict when another controller changed the plan object in the meantime, after which the call is
/// repeated.
asio::awaitable<result<confirm_response>> tryConfirm(object_store &store, std::string id, std::string digest, std::string nonce, settle_options options)
{
    result<stored_plan> read = co_await readStoredPlan(store, id);
    if (!read) {
        co_return read.error();
    }
    stored_plan current = std::move(read).value();
    // The root is read after the plan: when it is still at the base revision, no confirmation that ended earlier has updated it.
    result<configuration_view> view = co_await readConfiguration(store);
    if (!view) {
        co_return view.error();
    }
    const configuration_root *root = view.value().root ? &*view.value().root : nullptr;
    const settlement settled = settle(root, current.content.baseRevision, nonce, id);
    switch (decideConfirm(current.content, digest, view.value().revision())) {
    case confirm_decision::WrongDigest:
        co_return invalid("digest: value '" + digest + "' is not the digest of plan " + id);
    case confirm_decision::AlreadyApplied:
        co_return confirm_response{current.content, {}};
    case confirm_decision::Refused: {
        confirm_response refused{current.content, {}};
        refused.changes = co_await changesSince(store, current.content, view.value());
        co_return refused;
    }
    case confirm_decision::Stale:
        // The refusal is stored on the condition that no other controller has started to confirm the plan since it was read.
        co_return co_await completePlan(store, std::move(current), plan_event::Conflict, options);
    case confirm_decision::Settle:
        if (const std::optional<plan_event> event = eventOf(settled)) {
            co_return co_await completePlan(store, std::move(current), *event, options);
        }
        if (settled == settlement::Unknown) {
            co_return unsettled(id);
        }
        options.isRetry = true;
        break;
    case confirm_decision::Write: {
        plan_machine machine(current.content.state);
        const bool allowed = machine.process(plan_event::Confirm);
        BALSAM_ASSERT(allowed);
        current.content.state = machine.state();
        const result<std::uint64_t> marked = co_await writePlan(store, current.content, current.version, options);
        if (!marked) {
            co_return marked.error();
        }
        current.version = marked.value();
        break;
    }
    }
    const result<plan_event> event = co_await updateRoot(store, std::move(view).value(), current.content, nonce, options);
    if (!event) {
        co_return event.error().code == error_code::Unsettled ? unsettled(id) : event.error();
    }
    co_return co_await completePlan(store, std::move(current), event.value(), options);
}

} // namespace

asio::awaitable<result<configuration_view>> readConfiguration(object_store &store)
{
    configuration_view view;
    result<stored_object> stored = co_await store.read(ConfigurationKind, RootName);
    if (!stored && stored.error().code == error_code::NotFound) {
        co_return view;
    }
    if (!stored) {
        co_return stored.error();
    }
    result<configuration_root> root = parseRoot(stored.value().value);
    if (!root) {
        co_return root.error();
    }
    view.rootVersion = stored.value().version;
    view.root = std::move(root).value();
    result<configuration_document> document = co_await readDocumentOf(store, view.root->sections);
    if (!document) {
        co_return document.error();
    }
    view.document = std::move(document).value();
    co_return view;
}

asio::awaitable<result<plan>> proposePlan(object_store &store, std::string intentJson, std::string id)
{
    const result<intent> requested = parseIntent(intentJson);
    if (!requested) {
        co_return requested.error();
    }
    result<configuration_view> view = co_await readConfiguration(store);
    if (!view) {
        co_return view.error();
    }
    result<plan> proposed = makePlan(view.value().document, view.value().revision(), requested.value(), intentJson, id);
    if (!proposed) {
        co_return proposed.error();
    }
    const settle_options options;
    const result<std::uint64_t> written = co_await writePlan(store, proposed.value(), 0, options);
    if (!written) {
        co_return written.error();
    }
    co_return proposed;
}

asio::awaitable<result<plan>> readPlan(object_store &store, std::string id)
{
    result<stored_plan> stored = co_await readStoredPlan(store, id);
    if (!stored) {
        co_return stored.error();
    }
    co_return std::move(stored).value().content;
}

asio::awaitable<result<confirm_response>> confirmPlan(object_store &store, std::string id, std::string digest, std::string nonce, settle_options options)
{
    result<confirm_response> response = unsettled(id);
    for (unsigned attempt = 0; attempt < MaxConfirmAttempts; ++attempt) {
        response = co_await tryConfirm(store, id, digest, nonce, options);
        if (response || response.error().code != error_code::Conflict) {
            co_return response;
        }
    }
    co_return unsettled(id);
}

} // namespace balsamhook
