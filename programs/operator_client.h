#pragma once

#include "base/base.h"
#include "http/http.h"

#include <chrono>
#include <string>

namespace balsamhook
{

/// Blocking client of a controller's HTTP API for operators and of the other HTTP interfaces of an instance.
class operator_client
{
public:
    operator_client(endpoint controller, std::chrono::milliseconds timeout);

    /// Sends one request to the controller. An HTTP error status is a response; an error means that there was no response.
    result<http_response> call(const std::string &method, const std::string &path, const std::string &body = {}) const;

    /// Sends a GET request to another program, for example for the spans of a front end.
    result<http_response> get(const endpoint &peer, const std::string &path, const std::string &parameter = {}, const std::string &value = {}) const;

private:
    result<http_response> send(const endpoint &peer, http_request request) const;

    endpoint m_controller;
    std::chrono::milliseconds m_timeout;
};

} // namespace balsamhook
