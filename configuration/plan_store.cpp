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

// Each conflict on the plan object means that another controller brought the plan forward; there are only three steps.
constexpr unsigned MostConflicts = 4;

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
    return error{error_code::Unsettled, error_step::Store, "", "plan " + id + " may or may not be applied; confirm it again"};
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

/// Stores a plan. A value that was read back is this write's own when it is the same text: a plan in the same state has the same content,
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

/// Stores the sections that the root in force doesn't have. Sections are named by their content, so a conflict means that one is stored already.
asio::awaitable<result<void>> writeSections(object_store &store, configuration_view view, configuration_document document, settle_options options)
{
    std::vector<section_text> texts = splitSections(document);
    const auto isInForce = [&view](const section_text &section) {
        const auto hasHash = [&section](const auto &named) { return named.second == section.hash; };
        return view.root && std::any_of(view.root->sections.begin(), view.root->sections.end(), hasHash);
    };
    texts.erase(std::remove_if(texts.begin(), texts.end(), isInForce), texts.end());
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

/// Judges a root that was read back after an update on behalf of the plan.
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

/// Sends the root update; the event tells how it ended.
asio::awaitable<result<plan_event>> updateRoot(object_store &store, configuration_view view, plan confirmed, std::string nonce, settle_options options)
{
    const result<intent> wanted = parseIntent(confirmed.intentJson);
    if (!wanted) {
        co_return wanted.error();
    }
    const result<plan> remade = makePlan(view.document, view.revision(), wanted.value(), confirmed.intentJson, confirmed.id);
    if (!remade) {
        co_return remade.error();
    }
    if (remade.value().digest != confirmed.digest) {
        co_return invalid("the stored plan doesn't match its digest");
    }
    configuration_document document = applyIntent(view.document, wanted.value()).value();
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

/// What changed since the plan's base revision; empty when the base isn't known any more.
asio::awaitable<std::vector<std::string>> changesSince(object_store &store, plan stale, configuration_view now)
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
    changes = describeChanges(base, now.document);
    co_return changes;
}

/// Brings the plan to its end and tells the operator. When the plan is applied, a failure to update the plan object doesn't change the outcome:
/// the root decides, and a later call reads it.
asio::awaitable<result<confirm_answer>> finish(object_store &store, stored_plan ended, plan_event event, settle_options options)
{
    plan_machine machine(ended.content.state);
    const bool allowed = machine.process(event);
    BALSAM_ASSERT(allowed);
    ended.content.state = machine.state();
    confirm_answer answer;
    if (ended.content.state == plan_state::Applied) {
        ended.content.revision = ended.content.baseRevision + 1;
    } else {
        ended.content.refusal = "the configuration changed after revision " + std::to_string(ended.content.baseRevision);
        result<configuration_view> now = co_await readConfiguration(store);
        if (now) {
            answer.changes = co_await changesSince(store, ended.content, std::move(now).value());
        }
    }
    answer.confirmed = ended.content;
    options.isRetry = false;
    const result<std::uint64_t> written = co_await writePlan(store, ended.content, ended.version, options);
    if (!written && ended.content.state == plan_state::Refused) {
        // Another controller may have brought the plan forward meanwhile, so a refusal is final only once it is stored.
        co_return written.error();
    }
    co_return answer;
}

/// One attempt to confirm; Conflict when another controller changed the plan object meanwhile, and the caller starts again.
asio::awaitable<result<confirm_answer>> confirmOnce(object_store &store, std::string id, std::string digest, std::string nonce, settle_options options)
{
    result<stored_plan> read = co_await readStoredPlan(store, id);
    if (!read) {
        co_return read.error();
    }
    stored_plan current = std::move(read).value();
    // The root is read after the plan: a root at the base revision then has no update of an earlier confirmation that ended.
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
        co_return confirm_answer{current.content, {}};
    case confirm_decision::Refused: {
        confirm_answer refused{current.content, {}};
        refused.changes = co_await changesSince(store, current.content, view.value());
        co_return refused;
    }
    case confirm_decision::Stale:
        // The refusal is stored under the condition that no other controller has begun to confirm the plan since it was read.
        co_return co_await finish(store, std::move(current), plan_event::Conflict, options);
    case confirm_decision::Settle:
        if (const std::optional<plan_event> event = eventOf(settled)) {
            co_return co_await finish(store, std::move(current), *event, options);
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
    co_return co_await finish(store, std::move(current), event.value(), options);
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
    const result<intent> wanted = parseIntent(intentJson);
    if (!wanted) {
        co_return wanted.error();
    }
    result<configuration_view> view = co_await readConfiguration(store);
    if (!view) {
        co_return view.error();
    }
    result<plan> proposed = makePlan(view.value().document, view.value().revision(), wanted.value(), intentJson, id);
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

asio::awaitable<result<confirm_answer>> confirmPlan(object_store &store, std::string id, std::string digest, std::string nonce, settle_options options)
{
    result<confirm_answer> answer = unsettled(id);
    for (unsigned attempt = 0; attempt < MostConflicts; ++attempt) {
        answer = co_await confirmOnce(store, id, digest, nonce, options);
        if (answer || answer.error().code != error_code::Conflict) {
            co_return answer;
        }
    }
    co_return unsettled(id);
}

} // namespace balsamhook
