#include "membership/entitlement_machine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace balsamhook
{

namespace
{

namespace msm = boost::msm;
namespace front = boost::msm::front;
using front::none;
using front::Row;

struct lease_valid
{
};
struct majority_valid
{
};
struct neither_valid
{
};
struct targets_released
{
};

struct starting_state : front::state<>
{
};
struct lease_state : front::state<>
{
};
struct majority_state : front::state<>
{
};
struct expired_state : front::state<>
{
};
struct left_state : front::state<>
{
};

struct entitlement_definition : front::state_machine_def<entitlement_definition>
{
    using initial_state = starting_state;

    // clang-format off
    struct transition_table : boost::mpl::vector<
        Row<starting_state, lease_valid,      lease_state,    none, none>,
        Row<starting_state, majority_valid,   majority_state, none, none>,
        Row<starting_state, targets_released, left_state,     none, none>,
        Row<lease_state,    majority_valid,   majority_state, none, none>,
        Row<lease_state,    neither_valid,    expired_state,  none, none>,
        Row<lease_state,    targets_released, left_state,     none, none>,
        Row<majority_state, lease_valid,      lease_state,    none, none>,
        Row<majority_state, neither_valid,    expired_state,  none, none>,
        Row<majority_state, targets_released, left_state,     none, none>,
        Row<expired_state,  lease_valid,      lease_state,    none, none>,
        Row<expired_state,  majority_valid,   majority_state, none, none>,
        Row<expired_state,  targets_released, left_state,     none, none>
    > {};
    // clang-format on

    /// Ignores events that don't change the state.
    template<class Machine, class Event>
    void no_transition(const Event &, Machine &, int)
    {
    }
};

using backend = msm::back::state_machine<entitlement_definition>;

template<class State>
bool isInState(const backend &machine)
{
    return machine.current_state()[0] == msm::back::get_state_id<backend::stt, State>::value;
}

} // namespace

struct entitlement_machine::table
{
    backend machine;
};

entitlement_machine::entitlement_machine()
    : m_table(std::make_unique<table>())
{
    m_table->machine.start();
}

entitlement_machine::~entitlement_machine() = default;

void entitlement_machine::update(bool hasLease, bool hasMajority)
{
    if (hasLease) {
        m_table->machine.process_event(lease_valid());
        return;
    }
    if (hasMajority) {
        m_table->machine.process_event(majority_valid());
        return;
    }
    m_table->machine.process_event(neither_valid());
}

void entitlement_machine::leave()
{
    m_table->machine.process_event(targets_released());
}

entitlement_state entitlement_machine::state() const
{
    const backend &machine = m_table->machine;
    if (isInState<lease_state>(machine)) {
        return entitlement_state::EntitledByLease;
    }
    if (isInState<majority_state>(machine)) {
        return entitlement_state::EntitledByMajority;
    }
    if (isInState<expired_state>(machine)) {
        return entitlement_state::Expired;
    }
    return isInState<left_state>(machine) ? entitlement_state::Left : entitlement_state::Starting;
}

std::string_view nameOf(entitlement_state state)
{
    switch (state) {
    case entitlement_state::Starting:
        return "starting";
    case entitlement_state::EntitledByLease:
        return "entitled by lease";
    case entitlement_state::EntitledByMajority:
        return "entitled by majority";
    case entitlement_state::Expired:
        return "expired";
    case entitlement_state::Left:
        return "left";
    }
    return "unknown";
}

} // namespace balsamhook
