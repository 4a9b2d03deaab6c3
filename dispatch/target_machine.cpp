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
using step = msm::front::Row<in_state<From>, on_event<Event>, in_state<To>>;

struct target_table : msm::front::state_machine_def<target_table>
{
    using s = target_state;
    using e = target_event;
    using initial_state = in_state<s::NotOwned>;

    target_state current = s::NotOwned;

    // A target that may be used again after any interruption starts at its cold bound.
    struct transition_table : mpl::vector<step<s::NotOwned, e::Assigned, s::AwaitingTakeover>,
                                          step<s::NotOwned, e::TakeoverAllowed, s::Cold>,
                                          step<s::AwaitingTakeover, e::TakeoverAllowed, s::Cold>,
                                          step<s::AwaitingTakeover, e::OwnershipLost, s::NotOwned>,
                                          step<s::Cold, e::FullLimitReached, s::Warm>,
                                          step<s::Warm, e::LimitReset, s::Cold>,
                                          step<s::Cold, e::LeaveStarted, s::Draining>,
                                          step<s::Warm, e::LeaveStarted, s::Draining>,
                                          step<s::Unreachable, e::LeaveStarted, s::Draining>,
                                          step<s::Draining, e::LeaveEnded, s::Cold>,
                                          step<s::Cold, e::ConnectFailed, s::Unreachable>,
                                          step<s::Warm, e::ConnectFailed, s::Unreachable>,
                                          step<s::Unreachable, e::ConnectSucceeded, s::Cold>,
                                          step<s::Cold, e::OwnershipLost, s::Releasing>,
                                          step<s::Warm, e::OwnershipLost, s::Releasing>,
                                          step<s::Draining, e::OwnershipLost, s::Releasing>,
                                          step<s::Unreachable, e::OwnershipLost, s::Releasing>,
                                          step<s::Releasing, e::Released, s::NotOwned>,
                                          step<s::Releasing, e::TakeoverAllowed, s::Cold>>
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
    case e::LeaveStarted:
        m_table->process_event(on_event<e::LeaveStarted>());
        break;
    case e::LeaveEnded:
        m_table->process_event(on_event<e::LeaveEnded>());
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
