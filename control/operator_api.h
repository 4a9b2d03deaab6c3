#pragma once

#include "control/configuration_task.h"

namespace balsamhook
{

/// The operators' HTTP API of section 4.4 of docs/design.md, with /metrics, /healthz and /v1/spans. Precondition: core and task outlive the API.
class operator_api
{
public:
    operator_api(control_core &core, configuration_task &task);

    /// Unreachable when the port can't be bound.
    result<void> start();

private:
    boost::asio::awaitable<http_response> handle(http_request request);
    boost::asio::awaitable<http_response> createPlan(std::string intentJson);
    boost::asio::awaitable<http_response> confirm(std::string id, std::string body);
    boost::asio::awaitable<http_response> listPlans();
    boost::asio::awaitable<http_response> showPlan(std::string id);
    http_response staleResponse(const confirm_response &confirmation) const;
    http_response appliedResponse(const plan &applied) const;
    http_response configurationResponse() const;
    http_response membersResponse() const;
    http_response statusResponse() const;

    control_core &m_core;
    configuration_task &m_configurationTask;
    http_server m_server;
};

} // namespace balsamhook
