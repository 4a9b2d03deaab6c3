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
    std::chrono::milliseconds freshnessTimeout{5000}; ///< The front end accepts no new work when the configuration was not confirmed for this long.
    std::chrono::milliseconds stopTimeout{15000}; ///< A planned stop ends after this time even when work is still in flight.
    std::chrono::milliseconds stopServePeriod{3500}; ///< Minimum time of a planned stop with a connected front end; must exceed the address validity.
    std::chrono::milliseconds storeTimeout{1000};
    std::int64_t frameConnections = 1024; ///< Limit of connections from local programs and peers.
};

/// Key of the member list among the hashes of fetch_sections; not a content hash.
inline const std::string MemberListKey = "members/list";

/// State shared by the tasks of one controller. Not thread-safe: all calls come from the thread of the io_context.
struct control_core
{
    /// Uses the platform's object API over HTTP when no store is given. Precondition: ioContext outlives the object.
    control_core(boost::asio::io_context &ioContext, control_settings controlSettings, std::unique_ptr<object_store> objectStore = nullptr);

    /// Passes documents and the active root to the membership logic. Call it after the configuration or the member list changed.
    void updateMembership();

    /// Passes the revision and list version that all local programs have applied to the membership logic. Has no effect while the dispatcher is
    /// entitled and either disconnected or active on a target that this instance may no longer act on.
    void updateApplied();

    /// Records that the store confirmed the active configuration as the newest one.
    void recordStoreConfirmation();

    /// Until when the front end may accept new work; the epoch when it may not.
    boot_clock::time_point acceptUntil() const;

    /// Records a confirmation by a majority of the members when no peer has a newer configuration.
    void updateFreshness();

    /// True when the controller has read its configuration and is a member.
    bool isReady() const;

    /// State of a local program according to its last status.
    struct local_program
    {
        program_status status;
        boot_clock::time_point lastActivityAt; ///< When it connected or last sent a status.
        boot_clock::time_point entitledUntil; ///< As last sent to it.
        bool isConnected = false;
    };

    boost::asio::io_context &context;
    control_settings settings;
    counters metrics;
    span_store spans;
    std::unique_ptr<object_store> store;
    std::string incarnation;
    membership_node node;
    configuration_state configuration;
    std::map<program_role, local_program> programs;
    bool hasReadConfiguration = false; ///< From the store or a peer, also when it is empty.
    bool stopping = false;
    std::uint64_t loggedListVersion = 0;
    boot_clock::time_point confirmedAt; ///< When the active configuration was last confirmed to be the newest one.
};

/// Opens a frame connection to another controller, fetches sections and closes it. Invalid when the endpoint can't be parsed, Closed when the peer
/// doesn't respond within 1 s; other errors as those of frame_connection. Precondition: core outlives the call.
boost::asio::awaitable<result<sections>> fetchFromPeer(control_core &core, std::string peerEndpoint, fetch_sections request);

} // namespace balsamhook
