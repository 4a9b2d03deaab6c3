#include "http/socket_options.h"

#include <netinet/tcp.h>

namespace balsamhook
{

namespace
{

constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbeCount = 2;
constexpr int UserTimeoutMilliseconds = 2500;

using idle_option = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using interval_option = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using count_option = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
using user_timeout_option = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

} // namespace

void setSocketOptions(boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(idle_option(KeepAliveIdleSeconds), ignored);
    socket.set_option(interval_option(KeepAliveIntervalSeconds), ignored);
    socket.set_option(count_option(KeepAliveProbeCount), ignored);
    socket.set_option(user_timeout_option(UserTimeoutMilliseconds), ignored);
}

result<void> listenOn(boost::asio::ip::tcp::acceptor &acceptor, const endpoint &local, std::optional<int> receiveBufferBytes)
{
    namespace asio = boost::asio;
    boost::system::error_code failed;
    const auto address = asio::ip::make_address(local.address, failed);
    if (!failed) {
        acceptor.open(address.is_v6() ? asio::ip::tcp::v6() : asio::ip::tcp::v4(), failed);
    }
    if (!failed) {
        acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), failed);
    }
    if (!failed && receiveBufferBytes) {
        acceptor.set_option(asio::socket_base::receive_buffer_size(*receiveBufferBytes), failed);
    }
    if (!failed) {
        acceptor.bind({address, local.port}, failed);
    }
    if (!failed) {
        acceptor.listen(asio::socket_base::max_listen_connections, failed);
    }
    if (failed) {
        boost::system::error_code ignored;
        acceptor.close(ignored);
        return failure(error_code::Unreachable, error_step::Listen, describe(local), failed.message());
    }
    return success();
}

} // namespace balsamhook
