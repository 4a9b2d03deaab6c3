#pragma once

#include "configuration/document.h"
#include "configuration/json_reader.h"

#include <nlohmann/json.hpp>

namespace balsamhook
{

/// Allowed ranges of policy fields, shared by documents and intents.
constexpr number_range DeadlineMilliseconds{1, 60000};
constexpr double HighestCoverage = 1.0;
constexpr double HighestHedgePercent = 100.0;

/// Largest value of the object API, and so of a section and of a plan.
constexpr std::size_t LargestObjectBytes = 1024 * 1024;

nlohmann::json toJson(const data_centre_configuration &dataCentre);
nlohmann::json toJson(const service_configuration &service);
nlohmann::json toJson(const target_configuration &target);
nlohmann::json toJson(const configuration_document &document);

/// Reads one target and complains about its fields; references to it are checked with the whole document.
target_configuration readTarget(const nlohmann::json &value, const std::string &path, complaints &found);

/// Reads and checks a whole document. After a complaint the returned document is incomplete.
configuration_document readDocument(const nlohmann::json &value, const std::string &path, complaints &found);

} // namespace balsamhook
