#pragma once

#include "configuration/confirm.h"
#include "platform/platform.h"

#include <boost/asio/awaitable.hpp>
#include <chrono>

namespace balsamhook
{

/// The configuration in force with the version of the root object.
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

/// The answer to an operator who confirmed a plan.
struct confirm_answer
{
    plan confirmed; ///< Applied or Refused.
    std::vector<std::string> changes; ///< When refused: what changed since the plan's base revision, as far as known.
};

/// Reads the root and its sections. Errors as object_store::read(), Invalid when the stored configuration is damaged.
/// Precondition of this and the functions below: store outlives the call.
boost::asio::awaitable<result<configuration_view>> readConfiguration(object_store &store);

/// Makes a plan for an intent on the configuration in force and stores it. The id must be new. Errors as parseIntent(), makePlan() and settleWrite().
boost::asio::awaitable<result<plan>> proposePlan(object_store &store, std::string intentJson, std::string id);

/// Reads a plan. NotFound when there is none.
boost::asio::awaitable<result<plan>> readPlan(object_store &store, std::string id);

/// Confirms a plan: stores its sections and updates the root under the condition that it is still at the plan's base revision. A plan makes at
/// most one revision, also when answers are lost, several controllers confirm it at the same time, or the call is repeated after an error.
/// Errors: Invalid when the digest isn't the plan's; NotFound; Unsettled when the outcome isn't known yet; others as object_store::write().
/// After any error the operator may confirm again, and gets the outcome of the first update when it took effect.
/// Precondition: the nonce is new for each call.
boost::asio::awaitable<result<confirm_answer>> confirmPlan(object_store &store, std::string id, std::string digest, std::string nonce, settle_options options);

} // namespace balsamhook
