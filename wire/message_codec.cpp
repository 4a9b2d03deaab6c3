#include "wire/message_codec.h"

#include "base/unpack_limits.h"

#include <msgpack.hpp>

// Enumerators are encoded as their number; the decoder checks the range in enumeratorsInRange().
MSGPACK_ADD_ENUM(balsamhook::program_role)
MSGPACK_ADD_ENUM(balsamhook::outcome)
MSGPACK_ADD_ENUM(balsamhook::refusal_reason)
MSGPACK_ADD_ENUM(balsamhook::member_state)

namespace msgpack
{
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor
    {

// Maps each struct to a msgpack array of its members in order. A change of the number, order or types of the members needs a new protocol version.
#define BALSAM_MESSAGE(Type, ...) \
    template<> \
    struct pack<balsamhook::Type> \
    { \
        template<class Stream> \
        packer<Stream> &operator()(packer<Stream> &out, const balsamhook::Type &value) const \
        { \
            const auto &[__VA_ARGS__] = value; \
            packAll(out, __VA_ARGS__); \
            return out; \
        } \
    }; \
    template<> \
    struct convert<balsamhook::Type> \
    { \
        const msgpack::object &operator()(const msgpack::object &in, balsamhook::Type &value) const \
        { \
            auto &[__VA_ARGS__] = value; \
            convertAll(in, __VA_ARGS__); \
            return in; \
        } \
    };

    template<class Stream, class... Members>
    void packAll(packer<Stream> &out, const Members &...members)
    {
        out.pack_array(sizeof...(Members));
        (out.pack(members), ...);
    }

    template<class... Members>
    void convertAll(const msgpack::object &in, Members &...members)
    {
        if (in.type != type::ARRAY || in.via.array.size != sizeof...(Members)) {
            throw type_error();
        }
        std::size_t index = 0;
        ((in.via.array.ptr[index++] >> members), ...);
    }

    BALSAM_MESSAGE(snapshot, layoutEpoch, indexVersion)
    BALSAM_MESSAGE(hello, instance, incarnation, role, dataCentre)
    BALSAM_MESSAGE(sub_query_item, attemptId, target, shard)
    BALSAM_MESSAGE(sub_query_batch, queryId, traceparent, service, pinned, remainingMicroseconds, text, limit, items)
    BALSAM_MESSAGE(target_report, target, snapshots, usable, cold, queueLength, slotLimit, serviceTimeMicroseconds)
    BALSAM_MESSAGE(sub_response, attemptId, ended, reason, readFrom, hits, serviceTimeMicroseconds, report)
    BALSAM_MESSAGE(cancel_attempts, attemptIds)
    BALSAM_MESSAGE(command_request, attemptId, traceparent, service, target, key, expiresAtUnixMilliseconds, remainingMicroseconds, payload)
    BALSAM_MESSAGE(command_response, attemptId, ended, reason, result)
    BALSAM_MESSAGE(target_reports, reports)
    BALSAM_MESSAGE(member_entry, instance, dataCentre, frontEndpoint, dispatchEndpoint, controlEndpoint, gossipEndpoint, operatorEndpoint, leaving, alive)
    BALSAM_MESSAGE(target_owner, target, instance)
    BALSAM_MESSAGE(control_state, configurationRevision, memberListVersion, configuration, members, owners, ownedTargets, stopping)
    BALSAM_MESSAGE(entitlement, entitledUntil, acceptUntil)
    BALSAM_MESSAGE(program_status, role, appliedRevision, appliedMemberListVersion, activeTargets, inFlight)
    BALSAM_MESSAGE(fetch_sections, minRevision, hashes)
    BALSAM_MESSAGE(section_text, hash, text)
    BALSAM_MESSAGE(sections, root, texts)
    BALSAM_MESSAGE(rumour, instance, incarnation, state, sequence)
    BALSAM_MESSAGE(quarantine_notice, fingerprint, remainingMilliseconds)
    BALSAM_MESSAGE(target_crash, fingerprint, target)
    BALSAM_MESSAGE(crash_notice, crashes, quarantined)
    BALSAM_MESSAGE(gossip, sender, incarnation, sequence, appliedRevision, appliedMemberListVersion, acknowledgedSequence, leaseSequence, rumours, quarantined)

#undef BALSAM_MESSAGE

    } // namespace adaptor
}
} // namespace msgpack

namespace balsamhook
{

namespace
{

// The alternatives of `message` are in the order of message_type, which starts at 1.
message_type typeOf(const message &content)
{
    return static_cast<message_type>(content.index() + 1);
}

bool inRange(program_role role)
{
    return role >= program_role::Front && role <= program_role::Control;
}

bool inRange(outcome ended)
{
    return ended >= outcome::Answered && ended <= outcome::Unknown;
}

bool inRange(refusal_reason reason)
{
    return reason <= refusal_reason::Stopping;
}

bool enumeratorsInRange(const hello &content)
{
    return inRange(content.role);
}

bool enumeratorsInRange(const sub_response &content)
{
    return inRange(content.ended) && inRange(content.reason);
}

bool enumeratorsInRange(const command_response &content)
{
    return inRange(content.ended) && inRange(content.reason);
}

bool enumeratorsInRange(const program_status &content)
{
    return inRange(content.role);
}

bool enumeratorsInRange(const gossip &content)
{
    for (const rumour &received : content.rumours) {
        if (received.state < member_state::Alive || received.state > member_state::Leaving) {
            return false;
        }
    }
    return true;
}

template<class Message>
bool enumeratorsInRange(const Message &)
{
    return true;
}

template<class Message>
bool convertBody(const msgpack::object &body, message &content)
{
    Message decoded;
    body.convert(decoded);
    if (!enumeratorsInRange(decoded)) {
        return false;
    }
    content = std::move(decoded);
    return true;
}

using body_decoder = bool (*)(const msgpack::object &, message &);

template<std::size_t... Index>
bool decodeBody(std::size_t index, const msgpack::object &body, message &content, std::index_sequence<Index...>)
{
    static constexpr body_decoder Decoders[] = {&convertBody<std::variant_alternative_t<Index, message>>...};
    return index < sizeof...(Index) && Decoders[index](body, content);
}

auto malformed(std::string text)
{
    return failure(error_code::Protocol, error_step::Decode, "", std::move(text));
}

} // namespace

std::string encodeMessage(const message &content)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> out(buffer);
    out.pack_array(3);
    out.pack(ProtocolVersion);
    out.pack(static_cast<std::uint16_t>(typeOf(content)));
    std::visit([&out](const auto &body) { out.pack(body); }, content);
    return {buffer.data(), buffer.size()};
}

result<message> decodeMessage(std::string_view payload)
{
    try {
        std::size_t offset = 0;
        const msgpack::object_handle handle = msgpack::unpack(payload.data(), payload.size(), offset, nullptr, nullptr, unpackLimits(payload.size()));
        const msgpack::object &root = handle.get();
        if (offset != payload.size() || root.type != msgpack::type::ARRAY || root.via.array.size != 3) {
            return malformed("payload is not an array of version, type and body");
        }
        const auto version = root.via.array.ptr[0].as<std::uint16_t>();
        if (version != ProtocolVersion) {
            return malformed("protocol version " + std::to_string(version) + " is not supported");
        }
        const auto type = root.via.array.ptr[1].as<std::uint16_t>();
        message content;
        const bool decoded = type > 0 && decodeBody(type - 1U, root.via.array.ptr[2], content, std::make_index_sequence<std::variant_size_v<message>>());
        if (!decoded) {
            return malformed("message type " + std::to_string(type) + " is unknown or has a value out of range");
        }
        return content;
    } catch (const std::exception &thrown) {
        return malformed(std::string("malformed msgpack: ") + thrown.what());
    }
}

std::string_view messageName(const message &content)
{
    static constexpr std::string_view Names[] = {"hello",
                                                 "sub_query_batch",
                                                 "sub_answer",
                                                 "cancel_attempts",
                                                 "command_request",
                                                 "command_answer",
                                                 "target_reports",
                                                 "control_state",
                                                 "entitlement",
                                                 "program_status",
                                                 "fetch_sections",
                                                 "sections",
                                                 "gossip",
                                                 "crash_notice"};
    static_assert(std::size(Names) == std::variant_size_v<message>);
    return Names[content.index()];
}

} // namespace balsamhook
