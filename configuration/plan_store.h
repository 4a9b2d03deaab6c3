#pragma once

#include "configuration/confirm.h"
#include "platform/platform.h"

#include <boost/asio/awaitable.hpp>
#include <chrono>

namespace balsamhook
{

/// The current configuration with the version of the root object.
struct configuration_view
{
    std::uint64_t rootVersion = 0; ///< 0 when there is no root yet.
    std::optional<configuration_root> root;
    configuration_document document; ///< Empty when there is no root yet.

    std::uint64_t revision() const
    {
        return root ? root->revision : 0;
    }
};

/// Response to an operator's confirmation of a plan.
struct confirm_response
{
    plan confirmed; ///< Applied or Refused.
    std::vector<std::string> changes; ///< When refused: changes since the plan's base revision, if the base is still available.
};

/// Reads the root and its sections. Errors: as object_store::read(); Invalid when the stored configuration is corrupt.
/// Precondition of this and the functions below: store outlives the call.
boost::asio::awaitable<result<configuration_view>> readConfiguration(object_store &store);

/// Makes a plan for an intent, based on the current configuration, and stores it. Errors: as parseIntent(), makePlan() and settleWrite().
/// Precondition: the id is new.
boost::asio::awaitable<result<plan>> proposePlan(object_store &store, std::string intentJson, std::string id);

/// Reads a plan. Errors: as object_store::read(); NotFound when there is none; Invalid when the stored plan is corrupt.
boost::asio::awaitable<result<plan>> readPlan(object_store &store, std::string id);

/// Confirms a plan: stores its sections and updates the root on the condition that it is still at the plan's base revision. A plan makes at most
/// one revision, also when responses are lost, several controllers confirm it concurrently, or the call is repeated after an error.
/// Errors: Invalid when the digest isn't the plan's or a stored object is corrupt; NotFound when the plan or a stored section is missing; Unsettled
/// when the outcome isn't known yet; others as object_store::write().
/// After any error the call may be repeated; it returns the outcome of the first update if that one took effect.
/// Precondition: the nonce is new for each call.
boost::asio::awaitable<result<confirm_response>>
confirmPlan(object_store &store, std::string id, std::string digest, std::string nonce, settle_options options);

} // namespace balsamhook
