#include "configuration/plan_machine.h"

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

struct confirm_event
{
};
struct applied_event
{
};
struct conflict_event
{
};
struct response_lost_event
{
};
struct settled_applied_event
{
};
struct settled_refused_event
{
};
template<plan_state State>
struct stored_event
{
};

struct stored_state : front::state<>
{
};
struct proposed_state : front::state<>
{
};
struct sent_state : front::state<>
{
};
struct unsettled_state : front::state<>
{
};
struct applied_state : front::state<>
{
};
struct refused_state : front::state<>
{
};

struct plan_definition : front::state_machine_def<plan_definition>
{
    using initial_state = stored_state;

    // clang-format off
    struct transition_table : boost::mpl::vector<
        Row<stored_state,    stored_event<plan_state::Proposed>,   proposed_state,  none, none>,
        Row<stored_state,    stored_event<plan_state::Confirming>, unsettled_state, none, none>,
        Row<stored_state,    stored_event<plan_state::Applied>,    applied_state,   none, none>,
        Row<stored_state,    stored_event<plan_state::Refused>,    refused_state,   none, none>,
        Row<proposed_state,  confirm_event,                        sent_state,      none, none>,
        Row<proposed_state,  conflict_event,                       refused_state,   none, none>,
        Row<sent_state,      applied_event,                        applied_state,   none, none>,
        Row<sent_state,      conflict_event,                       refused_state,   none, none>,
        Row<sent_state,      response_lost_event,                  unsettled_state, none, none>,
        Row<unsettled_state, applied_event,                        applied_state,   none, none>,
        Row<unsettled_state, conflict_event,                       unsettled_state, none, none>,
        Row<unsettled_state, response_lost_event,                  unsettled_state, none, none>,
        Row<unsettled_state, settled_applied_event,                applied_state,   none, none>,
        Row<unsettled_state, settled_refused_event,                refused_state,   none, none>
    > {};
    // clang-format on

    template<class Machine, class Event>
    void no_transition(const Event &, Machine &, int)
    {
    }
};

using backend = msm::back::state_machine<plan_definition>;

/// Returns the number that MSM assigns to the state: by first occurrence as a source in the table, then by first occurrence as a target.
template<class State>
int stateId()
{
    return msm::back::get_state_id<backend::stt, State>::value;
}

} // namespace

struct plan_machine::table
{
    backend machine;

    template<class Event>
    bool process(const Event &event)
    {
        return machine.process_event(event) == msm::back::HANDLED_TRUE;
    }

    int current() const
    {
        return machine.current_state()[0];
    }
};

plan_machine::plan_machine(plan_state stored)
    : m_table(std::make_unique<table>())
{
    m_table->machine.start();
    switch (stored) {
    case plan_state::Proposed:
        m_table->process(stored_event<plan_state::Proposed>());
        break;
    case plan_state::Confirming:
        m_table->process(stored_event<plan_state::Confirming>());
        break;
    case plan_state::Applied:
        m_table->process(stored_event<plan_state::Applied>());
        break;
    case plan_state::Refused:
        m_table->process(stored_event<plan_state::Refused>());
        break;
    }
}

plan_machine::~plan_machine() = default;

bool plan_machine::process(plan_event event)
{
    switch (event) {
    case plan_event::Confirm:
        return m_table->process(confirm_event());
    case plan_event::Applied:
        return m_table->process(applied_event());
    case plan_event::Conflict:
        return m_table->process(conflict_event());
    case plan_event::ResponseLost:
        return m_table->process(response_lost_event());
    case plan_event::SettledApplied:
        return m_table->process(settled_applied_event());
    case plan_event::SettledRefused:
        return m_table->process(settled_refused_event());
    }
    return false;
}

plan_state plan_machine::state() const
{
    const int current = m_table->current();
    if (current == stateId<proposed_state>()) {
        return plan_state::Proposed;
    }
    if (current == stateId<applied_state>()) {
        return plan_state::Applied;
    }
    return current == stateId<refused_state>() ? plan_state::Refused : plan_state::Confirming;
}

bool plan_machine::isUnsettled() const
{
    return m_table->current() == stateId<unsettled_state>();
}

} // namespace balsamhook
