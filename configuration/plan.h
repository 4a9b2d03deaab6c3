#pragma once

#include "configuration/document.h"
#include "configuration/plan_state.h"

#include <optional>
#include <variant>

namespace balsamhook
{

struct apply_configuration_intent
{
    configuration_document document;
};

struct take_out_data_centre_intent
{
    std::string dataCentre;
    bool override = false;
};

struct bring_back_data_centre_intent
{
    std::string dataCentre;
};

struct add_target_intent
{
    target_configuration target;
    std::string service;
    std::string shard;
};

struct retire_target_intent
{
    std::string target;
    bool override = false;
};

struct set_service_policy_intent
{
    std::string service;
    std::optional<std::chrono::milliseconds> deadline;
    std::optional<double> minimumCoverage;
    std::optional<std::chrono::milliseconds> answerAfter;
    std::optional<double> hedgePercent;
};

using intent = std::variant<apply_configuration_intent,
                            take_out_data_centre_intent,
                            bring_back_data_centre_intent,
                            add_target_intent,
                            retire_target_intent,
                            set_service_policy_intent>;

/// Parses an intent as in section 4.4 of docs/design.md; unknown fields and values out of range are refused by name.
result<intent> parseIntent(std::string_view json);

/// What remains of one service under a plan.
struct service_preview
{
    std::string service;
    std::uint32_t slotsBefore = 0;
    std::uint32_t slotsAfter = 0;
    std::vector<std::string> shardsWithoutReplica;
    std::vector<std::string> shardsWithOneReplica;
};

struct plan
{
    std::string id;
    std::string intentJson;
    std::uint64_t baseRevision = 0;
    std::map<std::string, std::string, std::less<>> baseSections; ///< Hashes of the base's sections; tell what changed since. Empty at revision 0.
    std::uint64_t revision = 0; ///< Revision that the plan made; 0 before it was applied.
    plan_state state = plan_state::Proposed;
    std::string digest; ///< Content hash of intent, base revision and resulting document.
    std::vector<std::string> steps; ///< One sentence each.
    std::vector<service_preview> preview;
    std::vector<std::string> warnings;
    std::string refusal; ///< Why it was refused.
};

/// Returns the document that the intent makes of the given one; Invalid or NotFound when it can't be applied.
result<configuration_document> applyIntent(const configuration_document &current, const intent &wanted);

/// Makes a plan with steps, preview, warnings and digest. Invalid when the plan would leave a shard without a usable replica and the intent has no override.
result<plan> makePlan(const configuration_document &current, std::uint64_t baseRevision, const intent &wanted, std::string intentJson, std::string id);

/// Returns the name of a state as in the JSON of a plan.
std::string_view nameOf(plan_state state);

result<plan> parsePlan(std::string_view json);
std::string planText(const plan &proposed);

/// Sentences that tell what differs between two documents, for the operator whose plan is stale.
std::vector<std::string> describeChanges(const configuration_document &before, const configuration_document &after);

} // namespace balsamhook
