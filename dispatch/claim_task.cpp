#include "dispatch/claim_task.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace balsamhook
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds AdvanceInterval{10};
const std::string ObjectKind = "claims";

} // namespace

claim_task::claim_task(asio::io_context &context, object_store &store, claim_limits limits, counters &metrics)
    : m_context(context)
    , m_store(store)
    , m_metrics(metrics)
    , m_ledger(limits, boot_clock::now())
    , m_timer(context)
{
}

void claim_task::start()
{
    asio::co_spawn(m_context, advancePeriodically(shared_from_this()), asio::detached);
}

void claim_task::stop()
{
    m_stopped = true;
    m_timer.cancel();
}

void claim_task::submit(claimed_command command)
{
    const std::uint64_t id = ++m_nextId;
    claim_request request{id, command.service, command.key, command.expiresAt, command.deadline, randomId()};
    m_commands.emplace(id, std::move(command));
    perform(m_ledger.submit(std::move(request), boot_clock::now(), unixTime()));
}

void claim_task::finish(std::uint64_t id, outcome ended, refusal_reason reason, std::string result)
{
    perform(m_ledger.finish(id, ended, reason, std::move(result), boot_clock::now(), unixTime()));
}

std::size_t claim_task::size() const
{
    return m_ledger.size();
}

void claim_task::perform(const claim_ledger::actions &actions)
{
    for (const claim_action &action : actions) {
        if (const auto *readAction = std::get_if<read_claims>(&action)) {
            asio::co_spawn(m_context, read(shared_from_this(), readAction->object), asio::detached);
        } else if (const auto *writeAction = std::get_if<write_claims>(&action)) {
            asio::co_spawn(m_context, write(shared_from_this(), *writeAction), asio::detached);
        } else if (const auto *runAction = std::get_if<run_command>(&action)) {
            const auto onClaimed = m_commands.at(runAction->id).onClaimed;
            onClaimed(runAction->id);
        } else {
            endCommand(std::get<end_command>(action));
        }
    }
}

void claim_task::endCommand(const end_command &ended)
{
    const auto found = m_commands.find(ended.id);
    BALSAM_ASSERT(found != m_commands.end());
    const auto onEnded = std::move(found->second.onEnded);
    m_commands.erase(found);
    m_metrics.add(ended.ended == outcome::Answered     ? "dispatch_commands_total{outcome=\"answered\"}"
                      : ended.ended == outcome::NotRun ? "dispatch_commands_total{outcome=\"not_run\"}"
                                                       : "dispatch_commands_total{outcome=\"unknown\"}");
    onEnded(ended);
}

asio::awaitable<void> claim_task::advancePeriodically(std::shared_ptr<claim_task> self)
{
    while (!self->m_stopped) {
        boost::system::error_code ignored;
        self->m_timer.expires_after(AdvanceInterval);
        co_await self->m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (self->m_ledger.size() > 0) {
            self->perform(self->m_ledger.advance(boot_clock::now(), unixTime()));
        }
    }
}

asio::awaitable<void> claim_task::read(std::shared_ptr<claim_task> self, std::string object)
{
    const auto stored = co_await self->m_store.read(ObjectKind, object);
    self->m_metrics.add("dispatch_claim_reads_total");
    self->perform(self->m_ledger.onReadDone(object, stored, boot_clock::now(), unixTime()));
}

asio::awaitable<void> claim_task::write(std::shared_ptr<claim_task> self, write_claims request)
{
    const expected_version expected{request.expectedVersion};
    const auto written = co_await self->m_store.write(ObjectKind, request.object, expected, std::move(request.text));
    self->m_metrics.add(written ? "dispatch_claim_writes_total{outcome=\"written\"}" : "dispatch_claim_writes_total{outcome=\"failed\"}");
    self->perform(self->m_ledger.onWriteDone(request.object, written, boot_clock::now(), unixTime()));
}

} // namespace balsamhook
