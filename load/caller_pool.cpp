#include "load/caller_pool.h"

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

constexpr std::chrono::milliseconds AdviceTimeout{1000};
constexpr std::chrono::milliseconds ConnectTimeout{500};
constexpr std::chrono::milliseconds PauseWithoutAdvice{200};
constexpr std::chrono::milliseconds ShortestValidity{100};
constexpr std::size_t IdlePerAddress = 256;
constexpr int ConnectAttempts = 3;

} // namespace

caller_pool::caller_pool(asio::io_context &context, std::vector<endpoint> seeds, std::string bindAddress)
    : m_context(context)
    , m_wake(context)
    , m_seeds(std::move(seeds))
    , m_bindAddress(std::move(bindAddress))
{
    BALSAM_ASSERT(!m_seeds.empty());
}

asio::awaitable<void> caller_pool::keepAddresses()
{
    while (!m_stopped) {
        const std::chrono::milliseconds pause = co_await refresh();
        boost::system::error_code interrupted;
        m_wake.expires_after(pause);
        co_await m_wake.async_wait(asio::redirect_error(asio::use_awaitable, interrupted));
    }
}

void caller_pool::stop()
{
    m_stopped = true;
    m_wake.cancel();
    m_idle.clear();
}

asio::awaitable<result<void>> caller_pool::waitForAddresses(std::chrono::milliseconds timeout)
{
    const auto limit = boot_clock::now() + timeout;
    while (m_addresses.empty() && boot_clock::now() < limit) {
        boost::system::error_code ignored;
        asio::steady_timer pause(m_context, std::chrono::milliseconds(50));
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (m_addresses.empty()) {
        co_return failure(error_code::Unreachable, error_step::Resolve, describe(m_seeds.front()), "no front end gave addresses");
    }
    co_return success();
}

asio::awaitable<std::chrono::milliseconds> caller_pool::refresh()
{
    // The addresses in use come first; the seeds help when all of these are gone.
    std::vector<endpoint> candidates = m_addresses;
    if (!candidates.empty()) {
        std::rotate(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(m_refreshes % candidates.size()), candidates.end());
    }
    candidates.insert(candidates.end(), m_seeds.begin(), m_seeds.end());
    for (const endpoint &candidate : candidates) {
        http_request request;
        request.path = "/v1/addresses";
        const auto response = co_await fetch(candidate, m_bindAddress, request, AdviceTimeout);
        std::chrono::milliseconds valid{0};
        if (m_stopped || (response && adopt(response.value(), valid))) {
            ++m_refreshes;
            co_return valid;
        }
    }
    co_return PauseWithoutAdvice;
}

bool caller_pool::adopt(const http_response &response, std::chrono::milliseconds &valid)
{
    if (response.status != 200) {
        return false;
    }
    std::vector<endpoint> advised;
    try {
        const json body = json::parse(response.body);
        for (const json &text : body.at("addresses")) {
            const auto parsed = parseEndpoint(text.get<std::string>());
            if (parsed) {
                advised.push_back(parsed.value());
            }
        }
        valid = std::max(std::chrono::milliseconds(body.at("valid_ms").get<std::int64_t>()), ShortestValidity);
    } catch (const json::exception &) {
        return false;
    }
    if (advised.empty()) {
        return false;
    }
    m_addresses = std::move(advised);
    std::erase_if(m_idle, [this](const auto &entry) { return std::find(m_addresses.begin(), m_addresses.end(), entry.first) == m_addresses.end(); });
    return true;
}

endpoint caller_pool::nextAddress()
{
    return m_addresses.empty() ? m_seeds[m_next++ % m_seeds.size()] : m_addresses[m_next++ % m_addresses.size()];
}

http_connection::pointer caller_pool::takeIdle(const endpoint &address)
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

asio::awaitable<result<http_response>> caller_pool::send(http_request request, std::chrono::milliseconds timeout, bool isRepeatable)
{
    const auto limit = boot_clock::now() + timeout;
    error last{error_code::Timeout, error_step::Connect, "", "no time left"};
    bool mayResend = isRepeatable;
    for (int attempt = 0; attempt < ConnectAttempts && boot_clock::now() < limit; ++attempt) {
        const endpoint address = nextAddress();
        http_connection::pointer connection = takeIdle(address);
        if (!connection) {
            auto opened = co_await http_connection::open(address, m_bindAddress, ConnectTimeout);
            if (!opened) {
                last = opened.error();
                continue;
            }
            connection = opened.value();
        }
        const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(limit - boot_clock::now());
        auto response = co_await connection->exchange(request, std::max(remaining, std::chrono::milliseconds(1)));
        if (response) {
            std::deque<http_connection::pointer> &idle = m_idle[address];
            if (connection->isOpen() && !m_stopped && idle.size() < IdlePerAddress) {
                idle.push_back(connection);
            }
            co_return response;
        }
        last = response.error();
        if (!mayResend || last.code == error_code::Timeout) {
            break;
        }
        mayResend = false;
        ++m_resent;
    }
    co_return last;
}

const std::vector<endpoint> &caller_pool::addresses() const
{
    return m_addresses;
}

std::uint64_t caller_pool::refreshes() const
{
    return m_refreshes;
}

std::uint64_t caller_pool::resent() const
{
    return m_resent;
}

} // namespace balsamhook
