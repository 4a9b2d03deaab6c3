#include "load/front_connection_pool.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace balsamhook
{

namespace asio = boost::asio;
using nlohmann::json;

namespace
{

constexpr std::chrono::milliseconds RefreshTimeout{1000};
constexpr std::chrono::milliseconds ConnectTimeout{500};
constexpr std::chrono::milliseconds RefreshRetryDelay{200};
constexpr std::chrono::milliseconds MinValidity{100};
constexpr std::size_t MaxIdlePerAddress = 256;
constexpr int MaxSendAttempts = 3;

} // namespace

front_connection_pool::front_connection_pool(asio::io_context &context, std::vector<endpoint> seeds, std::string bindAddress)
    : m_context(context)
    , m_refreshTimer(context)
    , m_seeds(std::move(seeds))
    , m_bindAddress(std::move(bindAddress))
{
    BALSAM_ASSERT(!m_seeds.empty());
}

asio::awaitable<void> front_connection_pool::keepAddressesFresh()
{
    while (!m_stopped) {
        const std::chrono::milliseconds delay = co_await refresh();
        boost::system::error_code ignored;
        m_refreshTimer.expires_after(delay);
        co_await m_refreshTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void front_connection_pool::stop()
{
    m_stopped = true;
    m_refreshTimer.cancel();
    m_idle.clear();
}

asio::awaitable<result<void>> front_connection_pool::waitForAddresses(std::chrono::milliseconds timeout)
{
    const auto deadline = boot_clock::now() + timeout;
    while (m_addresses.empty() && boot_clock::now() < deadline) {
        boost::system::error_code ignored;
        asio::steady_timer timer(m_context, std::chrono::milliseconds(50));
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (m_addresses.empty()) {
        co_return failure(error_code::Unreachable, error_step::Resolve, describe(m_seeds.front()), "no front end returned addresses");
    }
    co_return success();
}

asio::awaitable<std::chrono::milliseconds> front_connection_pool::refresh()
{
    // Known addresses come first; the seeds are the fallback when none of these responds.
    std::vector<endpoint> candidates = m_addresses;
    if (!candidates.empty()) {
        std::rotate(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(m_refreshCount % candidates.size()), candidates.end());
    }
    candidates.insert(candidates.end(), m_seeds.begin(), m_seeds.end());
    for (const endpoint &candidate : candidates) {
        http_request request;
        request.path = "/v1/addresses";
        const auto response = co_await fetch(candidate, m_bindAddress, request, RefreshTimeout);
        std::chrono::milliseconds validity{0};
        if (m_stopped || (response && applyAddresses(response.value(), validity))) {
            ++m_refreshCount;
            co_return validity;
        }
    }
    co_return RefreshRetryDelay;
}

bool front_connection_pool::applyAddresses(const http_response &response, std::chrono::milliseconds &validity)
{
    if (response.status != 200) {
        return false;
    }
    std::vector<endpoint> addresses;
    try {
        const json body = json::parse(response.body);
        for (const json &address : body.at("addresses")) {
            const auto parsed = parseEndpoint(address.get<std::string>());
            if (parsed) {
                addresses.push_back(parsed.value());
            }
        }
        validity = std::max(std::chrono::milliseconds(body.at("valid_ms").get<std::int64_t>()), MinValidity);
    } catch (const json::exception &) {
        return false;
    }
    if (addresses.empty()) {
        return false;
    }
    m_addresses = std::move(addresses);
    std::erase_if(m_idle, [this](const auto &entry) { return std::find(m_addresses.begin(), m_addresses.end(), entry.first) == m_addresses.end(); });
    return true;
}

endpoint front_connection_pool::nextAddress()
{
    return m_addresses.empty() ? m_seeds[m_next++ % m_seeds.size()] : m_addresses[m_next++ % m_addresses.size()];
}

http_connection::pointer front_connection_pool::takeIdle(const endpoint &address)
{
    std::deque<http_connection::pointer> &idle = m_idle[address];
    while (!idle.empty()) {
        http_connection::pointer connection = std::move(idle.back());
        idle.pop_back();
        if (connection->isOpen()) {
            return connection;
        }
    }
    return nullptr;
}

asio::awaitable<result<http_response>> front_connection_pool::send(http_request request, std::chrono::milliseconds timeout, bool isIdempotent)
{
    const auto deadline = boot_clock::now() + timeout;
    error lastError{error_code::Timeout, error_step::Connect, "", "deadline expired before a connection was open"};
    bool mayResend = isIdempotent;
    for (int attempt = 0; attempt < MaxSendAttempts && boot_clock::now() < deadline; ++attempt) {
        const endpoint address = nextAddress();
        http_connection::pointer connection = takeIdle(address);
        if (!connection) {
            auto connected = co_await http_connection::open(address, m_bindAddress, ConnectTimeout);
            if (!connected) {
                lastError = connected.error();
                continue;
            }
            connection = connected.value();
        }
        const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(deadline - boot_clock::now());
        auto response = co_await connection->exchange(request, std::max(remaining, std::chrono::milliseconds(1)));
        if (response) {
            std::deque<http_connection::pointer> &idle = m_idle[address];
            if (connection->isOpen() && !m_stopped && idle.size() < MaxIdlePerAddress) {
                idle.push_back(connection);
            }
            co_return response;
        }
        lastError = response.error();
        if (!mayResend || lastError.code == error_code::Timeout) {
            break;
        }
        mayResend = false;
        ++m_resentCount;
    }
    co_return lastError;
}

const std::vector<endpoint> &front_connection_pool::addresses() const
{
    return m_addresses;
}

std::uint64_t front_connection_pool::refreshCount() const
{
    return m_refreshCount;
}

std::uint64_t front_connection_pool::resentCount() const
{
    return m_resentCount;
}

} // namespace balsamhook
