#pragma once

#include "base/base.h"
#include "http/http.h"

#include <chrono>
#include <string>

namespace balsamhook
{

/// Calls the operators' HTTP API of a controller, or another HTTP interface of an instance, and waits for the answer.
class operator_client
{
public:
    operator_client(endpoint controller, std::chrono::milliseconds timeout);

    /// Sends one request to the controller; an error only when there was no answer at all.
    result<http_response> call(const std::string &method, const std::string &path, const std::string &body = {}) const;

    /// Reads a path of another program, for example the spans of a front end.
    result<http_response> read(const endpoint &peer, const std::string &path, const std::string &parameter = {}, const std::string &value = {}) const;

private:
    result<http_response> send(const endpoint &peer, http_request request) const;

    endpoint m_controller;
    std::chrono::milliseconds m_timeout;
};

} // namespace balsamhook
