#include "http/exchange_machine.h"

#include "base/base.h"

#include <utility>

namespace balsamhook
{

namespace
{

/// Interim responses and responses to other requests that one exchange may discard.
constexpr unsigned MaxDiscardedResponses = 16;

} // namespace

exchange_machine::exchange_machine(message_reader::limits limits, const response_memory *memory)
    : m_reader(message_kind::Response, limits)
    , m_memory(memory)
{
}

void exchange_machine::begin(std::string requestId, bool expectsBody)
{
    BALSAM_ASSERT(isReusable());
    ++m_requests;
    if (!expectsBody) {
        m_reader.expectNoBody();
    }
    m_state = in_flight{std::move(requestId), expectsBody, false, false, 0};
}

void exchange_machine::onRequestWritten()
{
    if (auto *exchange = std::get_if<in_flight>(&m_state)) {
        exchange->isWritten = true;
    }
}

std::optional<exchange_result> exchange_machine::onBytes(std::string_view received)
{
    auto *exchange = std::get_if<in_flight>(&m_state);
    if (exchange == nullptr) {
        m_state = ended{};
        return std::nullopt;
    }
    std::string joined;
    std::string_view data = received;
    if (!m_unparsed.empty()) {
        joined = std::exchange(m_unparsed, {});
        joined.append(received);
        data = joined;
    }
    while (!data.empty()) {
        boost::system::error_code failed;
        data.remove_prefix(m_reader.feed(data, failed));
        const bool isIncomplete = !failed && !m_reader.isDone();
        if (failed) {
            return fail();
        }
        if (!isWithinMemory(m_reader.heldBytes() + (isIncomplete ? data.size() : 0))) {
            exchange_result lost = fail();
            lost.hadNoRoom = true;
            return lost;
        }
        if (isIncomplete) {
            // The reader leaves an incomplete header or line, within its limits; the rest is passed again with the next bytes.
            m_unparsed = data.size() == joined.size() ? std::move(joined) : std::string(data);
            return std::nullopt;
        }
        if (auto result = onMessage(*exchange, !data.empty())) {
            return result;
        }
    }
    return std::nullopt;
}

std::optional<exchange_result> exchange_machine::onMessage(in_flight &exchange, bool hasFurtherBytes)
{
    http_message response = m_reader.take();
    response.memory = std::exchange(m_holding, nullptr);
    const bool isInterim = isInterimStatus(response.status);
    if (isInterim || !isResponseTo(exchange, response)) {
        return discard(exchange, isInterim) ? std::nullopt : std::optional(fail());
    }
    const bool isReusable = response.keepAlive && !hasFurtherBytes && exchange.isWritten && !exchange.wasPolluted;
    if (isReusable) {
        m_state = idle{};
    } else {
        m_state = ended{};
    }
    return exchange_result{exchange_outcome::Completed, std::move(response), false, false, true};
}

bool exchange_machine::isResponseTo(const in_flight &exchange, const http_message &response) const
{
    bool hasId = false;
    for (const header_field &field : response.fields) {
        if (!isSameName(field.name, "Request-Id")) {
            continue;
        }
        if (field.value != exchange.requestId) {
            return false;
        }
        hasId = true;
    }
    return hasId || (m_requests == 1 && !exchange.wasPolluted);
}

bool exchange_machine::discard(in_flight &exchange, bool isInterim)
{
    exchange.wasPolluted = exchange.wasPolluted || !isInterim;
    if (!exchange.expectsBody) {
        // Where a final response to another request ends can't be known here, as that request may have been no HEAD.
        if (!isInterim) {
            return false;
        }
        m_reader.expectNoBody();
    }
    return ++exchange.discarded <= MaxDiscardedResponses;
}

bool exchange_machine::isWithinMemory(std::size_t bytes)
{
    if (m_memory == nullptr) {
        return true;
    }
    if (!m_holding) {
        m_holding = m_memory->hold();
    }
    return m_holding->resize(bytes);
}

exchange_result exchange_machine::fail()
{
    m_holding = nullptr;
    m_state = ended{};
    return {exchange_outcome::Lost, {}, false, false, true};
}

std::optional<exchange_result> exchange_machine::onEnd(connection_end end, bool hasSentBytes)
{
    auto *exchange = std::get_if<in_flight>(&m_state);
    if (exchange == nullptr) {
        m_state = ended{};
        return std::nullopt;
    }
    const bool hasReceivedBytes = m_reader.hasStarted() || !m_unparsed.empty();
    // Only an orderly close completes a response without Content-Length; after a reset the body may be truncated.
    if (end == connection_end::ClosedByTarget && m_reader.hasHeader()) {
        boost::system::error_code incomplete;
        m_reader.endOfStream(incomplete);
        if (!incomplete && m_reader.isDone()) {
            auto result = onMessage(*exchange, false);
            m_state = ended{};
            if (result && result->outcome == exchange_outcome::Completed) {
                return result;
            }
        }
    }
    m_state = ended{};
    const exchange_outcome outcome = hasSentBytes ? exchange_outcome::Lost : exchange_outcome::NotSent;
    return exchange_result{outcome, {}, true, end != connection_end::Failed, hasReceivedBytes};
}

bool exchange_machine::isReusable() const
{
    return std::holds_alternative<idle>(m_state);
}

bool exchange_machine::hasEnded() const
{
    return std::holds_alternative<ended>(m_state);
}

} // namespace balsamhook
