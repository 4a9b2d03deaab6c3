#pragma once

#include "configuration/document.h"
#include "configuration/json_reader.h"

#include <nlohmann/json.hpp>

namespace balsamhook
{

/// Allowed ranges of the policy fields of documents and intents.
constexpr number_range DeadlineMilliseconds{1, 60000};
constexpr double MaxCoverage = 1.0;
constexpr double MaxHedgePercent = 100.0;

/// Size limit of an object of the platform, and therefore of a section and of a plan.
constexpr std::size_t MaxObjectBytes = 1024 * 1024;

nlohmann::json toJson(const data_centre_configuration &dataCentre);
nlohmann::json toJson(const service_configuration &service);
nlohmann::json toJson(const target_configuration &target);
nlohmann::json toJson(const configuration_document &document);

/// Reads one target and validates its fields. References to other entries are validated by readDocument().
target_configuration readTarget(const nlohmann::json &value, const std::string &path, validation_errors &errors);

/// Reads and validates a whole document. After an error the returned document is incomplete.
configuration_document readDocument(const nlohmann::json &value, const std::string &path, validation_errors &errors);

} // namespace balsamhook
