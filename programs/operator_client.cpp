#include "programs/operator_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

namespace balsamhook
{

namespace asio = boost::asio;

namespace
{

asio::awaitable<void> fetchInto(endpoint peer, http_request request, std::chrono::milliseconds timeout, result<http_response> &response)
{
    response = co_await fetch(std::move(peer), "", std::move(request), timeout);
}

} // namespace

operator_client::operator_client(endpoint controller, std::chrono::milliseconds timeout)
    : m_controller(std::move(controller))
    , m_timeout(timeout)
{
}

result<http_response> operator_client::send(const endpoint &peer, http_request request) const
{
    asio::io_context context;
    result<http_response> response = failure(error_code::Unreachable, error_step::Connect, describe(peer), "no response");
    asio::co_spawn(context, fetchInto(peer, std::move(request), m_timeout, response), asio::detached);
    context.run();
    return response;
}

result<http_response> operator_client::call(const std::string &method, const std::string &path, const std::string &body) const
{
    http_request request;
    request.method = method;
    request.path = path;
    request.body = body;
    return send(m_controller, std::move(request));
}

result<http_response> operator_client::get(const endpoint &peer, const std::string &path, const std::string &parameter, const std::string &value) const
{
    http_request request;
    request.path = path;
    if (!parameter.empty()) {
        request.query[parameter] = value;
    }
    return send(peer, std::move(request));
}

} // namespace balsamhook
