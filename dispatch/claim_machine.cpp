#include "dispatch/claim_machine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace balsamhook
{

namespace
{

namespace msm = boost::msm;
namespace mpl = boost::mpl;

template<claim_event Value>
struct on_event
{
};

template<claim_state Value>
struct in_state : msm::front::state<>
{
    template<class Event, class Machine>
    void on_entry(const Event &, Machine &machine)
    {
        machine.current = Value;
    }
};

template<claim_state From, claim_event Event, claim_state To>
using transition = msm::front::Row<in_state<From>, on_event<Event>, in_state<To>>;

struct claim_table : msm::front::state_machine_def<claim_table>
{
    using s = claim_state;
    using e = claim_event;
    using initial_state = in_state<s::Queued>;

    claim_state current = s::Queued;

    // Sent is reached only from Claimed, and nothing leads back to Claimed from there, so a command is sent at most once for each claim.
    struct transition_table : mpl::vector<transition<s::Queued, e::WriteStarted, s::Writing>,
                                          transition<s::Queued, e::Withdrawn, s::Done>,
                                          transition<s::Writing, e::WriteConfirmed, s::Claimed>,
                                          transition<s::Writing, e::WriteRefused, s::Queued>,
                                          transition<s::Writing, e::WriteUnsettled, s::Settling>,
                                          transition<s::Writing, e::Withdrawn, s::Releasing>,
                                          transition<s::Settling, e::WriteStarted, s::Rewriting>,
                                          transition<s::Settling, e::FoundPresent, s::Claimed>,
                                          transition<s::Settling, e::FoundAbsent, s::Queued>,
                                          transition<s::Settling, e::Withdrawn, s::Releasing>,
                                          transition<s::Rewriting, e::WriteConfirmed, s::Claimed>,
                                          transition<s::Rewriting, e::WriteRefused, s::Settling>,
                                          transition<s::Rewriting, e::WriteUnsettled, s::Settling>,
                                          transition<s::Rewriting, e::Withdrawn, s::Releasing>,
                                          transition<s::Claimed, e::RunStarted, s::Sent>,
                                          transition<s::Claimed, e::Withdrawn, s::Releasing>,
                                          transition<s::Sent, e::Ended, s::Recording>,
                                          transition<s::Sent, e::NotStarted, s::Releasing>,
                                          transition<s::Recording, e::Stored, s::Done>,
                                          transition<s::Releasing, e::Stored, s::Done>>
    {
    };

    template<class Machine, class Event>
    void no_transition(const Event &, Machine &, int)
    {
    }
};

} // namespace

struct claim_machine::table : msm::back::state_machine<claim_table>
{
};

claim_machine::claim_machine()
    : m_table(std::make_unique<table>())
{
    m_table->start();
}

claim_machine::~claim_machine() = default;
claim_machine::claim_machine(claim_machine &&other) noexcept = default;
claim_machine &claim_machine::operator=(claim_machine &&other) noexcept = default;

void claim_machine::process(claim_event event)
{
    using e = claim_event;
    switch (event) {
    case e::WriteStarted:
        m_table->process_event(on_event<e::WriteStarted>());
        break;
    case e::WriteConfirmed:
        m_table->process_event(on_event<e::WriteConfirmed>());
        break;
    case e::WriteRefused:
        m_table->process_event(on_event<e::WriteRefused>());
        break;
    case e::WriteUnsettled:
        m_table->process_event(on_event<e::WriteUnsettled>());
        break;
    case e::FoundPresent:
        m_table->process_event(on_event<e::FoundPresent>());
        break;
    case e::FoundAbsent:
        m_table->process_event(on_event<e::FoundAbsent>());
        break;
    case e::Withdrawn:
        m_table->process_event(on_event<e::Withdrawn>());
        break;
    case e::RunStarted:
        m_table->process_event(on_event<e::RunStarted>());
        break;
    case e::Ended:
        m_table->process_event(on_event<e::Ended>());
        break;
    case e::NotStarted:
        m_table->process_event(on_event<e::NotStarted>());
        break;
    case e::Stored:
        m_table->process_event(on_event<e::Stored>());
        break;
    }
}

claim_state claim_machine::state() const
{
    return m_table->current;
}

} // namespace balsamhook
