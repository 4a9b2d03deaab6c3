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

/// Parses an intent; see section 4.4 of docs/design.md. Errors: Invalid, with the name of the unknown field or the field out of range.
result<intent> parseIntent(std::string_view text);

/// Usable capacity of one service before and after a plan.
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
    std::map<std::string, std::string, std::less<>>
        baseSections; ///< Section name to hash at the base revision, used to describe later changes. Empty at revision 0.
    std::uint64_t revision = 0; ///< Revision that the plan made; 0 until it is applied.
    plan_state state = plan_state::Proposed;
    std::string digest; ///< Content hash of intent, base revision and resulting document.
    std::vector<std::string> steps; ///< One sentence each.
    std::vector<service_preview> preview;
    std::vector<std::string> warnings;
    std::string refusal; ///< Reason for a refusal.
};

/// Applies the intent to a copy of the document. Errors: Invalid or NotFound when it can't be applied.
result<configuration_document> applyIntent(const configuration_document &current, const intent &requested);

/// Makes a plan with steps, preview, warnings and digest. Errors: as applyIntent(); Invalid when the plan would leave a shard without a usable replica
/// and the intent has no override; TooLarge when the plan or a list of the document exceeds the size limit of an object.
result<plan> makePlan(const configuration_document &current, std::uint64_t baseRevision, const intent &requested, std::string intentJson, std::string id);

/// Returns the name of the state in the JSON text of a plan.
std::string_view nameOf(plan_state state);

/// Parses the JSON text of a plan. Errors: Invalid.
result<plan> parsePlan(std::string_view text);
std::string planText(const plan &proposed);

/// Returns sentences that describe the differences between two documents.
std::vector<std::string> describeChanges(const configuration_document &before, const configuration_document &after);

} // namespace balsamhook
