#include "dispatch/target_machine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace balsamhook
{

namespace
{

namespace msm = boost::msm;
namespace mpl = boost::mpl;

template<target_event Value>
struct on_event
{
};

template<target_state Value>
struct in_state : msm::front::state<>
{
    template<class Event, class Machine>
    void on_entry(const Event &, Machine &machine)
    {
        machine.current = Value;
    }
};

template<target_state From, target_event Event, target_state To>
using transition = msm::front::Row<in_state<From>, on_event<Event>, in_state<To>>;

struct target_table : msm::front::state_machine_def<target_table>
{
    using s = target_state;
    using e = target_event;
    using initial_state = in_state<s::NotOwned>;

    target_state current = s::NotOwned;

    // After any interruption a target restarts in Cold and goes through slow start again.
    struct transition_table : mpl::vector<transition<s::NotOwned, e::Assigned, s::AwaitingTakeover>,
                                          transition<s::NotOwned, e::TakeoverAllowed, s::Cold>,
                                          transition<s::AwaitingTakeover, e::TakeoverAllowed, s::Cold>,
                                          transition<s::AwaitingTakeover, e::OwnershipLost, s::NotOwned>,
                                          transition<s::Cold, e::FullLimitReached, s::Warm>,
                                          transition<s::Warm, e::LimitReset, s::Cold>,
                                          transition<s::Cold, e::DrainStarted, s::Draining>,
                                          transition<s::Warm, e::DrainStarted, s::Draining>,
                                          transition<s::Unreachable, e::DrainStarted, s::Draining>,
                                          transition<s::Draining, e::DrainEnded, s::Cold>,
                                          transition<s::Cold, e::ConnectFailed, s::Unreachable>,
                                          transition<s::Warm, e::ConnectFailed, s::Unreachable>,
                                          transition<s::Unreachable, e::ConnectSucceeded, s::Cold>,
                                          transition<s::Cold, e::OwnershipLost, s::Releasing>,
                                          transition<s::Warm, e::OwnershipLost, s::Releasing>,
                                          transition<s::Draining, e::OwnershipLost, s::Releasing>,
                                          transition<s::Unreachable, e::OwnershipLost, s::Releasing>,
                                          transition<s::Releasing, e::Released, s::NotOwned>,
                                          transition<s::Releasing, e::TakeoverAllowed, s::Cold>>
    {
    };

    template<class Machine, class Event>
    void no_transition(const Event &, Machine &, int)
    {
    }
};

} // namespace

struct target_machine::table : msm::back::state_machine<target_table>
{
};

target_machine::target_machine()
    : m_table(std::make_unique<table>())
{
    m_table->start();
}

target_machine::~target_machine() = default;
target_machine::target_machine(target_machine &&other) noexcept = default;
target_machine &target_machine::operator=(target_machine &&other) noexcept = default;

void target_machine::process(target_event event)
{
    using e = target_event;
    switch (event) {
    case e::Assigned:
        m_table->process_event(on_event<e::Assigned>());
        break;
    case e::TakeoverAllowed:
        m_table->process_event(on_event<e::TakeoverAllowed>());
        break;
    case e::OwnershipLost:
        m_table->process_event(on_event<e::OwnershipLost>());
        break;
    case e::Released:
        m_table->process_event(on_event<e::Released>());
        break;
    case e::FullLimitReached:
        m_table->process_event(on_event<e::FullLimitReached>());
        break;
    case e::LimitReset:
        m_table->process_event(on_event<e::LimitReset>());
        break;
    case e::DrainStarted:
        m_table->process_event(on_event<e::DrainStarted>());
        break;
    case e::DrainEnded:
        m_table->process_event(on_event<e::DrainEnded>());
        break;
    case e::ConnectFailed:
        m_table->process_event(on_event<e::ConnectFailed>());
        break;
    case e::ConnectSucceeded:
        m_table->process_event(on_event<e::ConnectSucceeded>());
        break;
    }
}

target_state target_machine::state() const
{
    return m_table->current;
}

std::string_view nameOf(target_state state)
{
    switch (state) {
    case target_state::NotOwned:
        return "not_owned";
    case target_state::AwaitingTakeover:
        return "awaiting_takeover";
    case target_state::Cold:
        return "cold";
    case target_state::Warm:
        return "warm";
    case target_state::Draining:
        return "draining";
    case target_state::Unreachable:
        return "unreachable";
    case target_state::Releasing:
        return "releasing";
    }
    return "unknown";
}

} // namespace balsamhook
