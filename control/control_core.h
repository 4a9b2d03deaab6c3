#pragma once

#include "control/configuration_state.h"
#include "programs/program.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace balsamhook
{

struct control_settings
{
    instance_settings instance;
    endpoint platform;
    std::chrono::milliseconds freshness{5000}; ///< Without confirmation of the configuration for this long the front end takes no new work.
    std::chrono::milliseconds stopLimit{15000}; ///< A planned stop ends after this time even when work is still in flight.
    std::chrono::milliseconds stopServeTime{3500}; ///< A planned stop goes on for this long while the front end is connected; above the advice validity.
    std::chrono::milliseconds storeTimeout{1000};
    std::int64_t frameConnections = 1024; ///< From local programs and other controllers.
};

/// Hash under which a peer asks for the member list in fetch_sections; not a content hash.
inline const std::string MemberListName = "members/list";

/// State that the tasks of one controller share. All of them run on the thread of the io_context.
struct control_core
{
    /// Talks to the platform over HTTP unless another store is given.
    control_core(boost::asio::io_context &ioContext, control_settings settings, std::unique_ptr<object_store> otherStore = nullptr);

    /// Adopts what the configuration state and the membership logic can give each other. Call it after either changed.
    void exchange();

    /// Reports to the membership logic what the local programs applied.
    void refreshApplied();

    /// Notes that the store confirmed the configuration in force.
    void noteStoreFresh();

    /// Until when the front end may take new work.
    boot_clock::time_point acceptUntil() const;
    void confirmFreshness();

    /// True when the controller knows its configuration and is a member.
    bool isReady() const;

    /// A local program as its last status tells.
    struct local_program
    {
        program_status status;
        boot_clock::time_point heardAt;
        boot_clock::time_point entitledUntil; ///< As last sent to it.
        bool isConnected = false;
    };

    boost::asio::io_context &context;
    control_settings values;
    counters numbers;
    span_store spans;
    std::unique_ptr<object_store> store;
    std::string incarnation;
    membership_node node;
    configuration_state configuration;
    std::map<program_role, local_program> programs;
    bool hasReadConfiguration = false; ///< From the store or a peer, also when it is empty.
    bool stopping = false;
    std::uint64_t loggedListVersion = 0;
    boot_clock::time_point freshAt; ///< When the configuration was last known to be the newest one.
};

/// Opens a frame connection to a controller, asks for sections and closes it.
boost::asio::awaitable<result<sections>> fetchFromPeer(control_core &core, std::string peerEndpoint, fetch_sections request);

} // namespace balsamhook
