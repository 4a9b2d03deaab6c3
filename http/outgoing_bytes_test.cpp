#include <doctest/doctest.h>

#include "http/outgoing_bytes.h"

#include <rapidcheck.h>

using namespace balsamhook;

namespace
{

std::string contentOf(const outgoing_bytes::buffers_type &buffers)
{
    std::string content;
    for (const boost::asio::const_buffer &buffer : buffers) {
        content.append(static_cast<const char *>(buffer.data()), buffer.size());
    }
    return content;
}

} // namespace

TEST_CASE("outgoing_bytes: what a write refers to stays in place while more is added (review case 7: callers got 25 bytes of freed memory)")
{
    for (const std::size_t size : {1U, 15U, 25U, 5000U}) {
        outgoing_bytes bytes;
        bytes.add(std::string(size, 'a'));
        const auto pending = bytes.buffers();
        for (int i = 0; i < 100; ++i) {
            bytes.add(std::string(static_cast<std::size_t>(i), 'b'));
        }
        CHECK(bytes.buffers().front().data() == pending.front().data());
        CHECK(contentOf(pending) == std::string(size, 'a'));
    }
}

TEST_CASE("outgoing_bytes: any additions and partial writes keep the order, and nothing is held at the end (guards against lost and doubled bytes)")
{
    CHECK(rc::check([] {
        outgoing_bytes bytes;
        std::string added;
        std::string written;
        const int steps = *rc::gen::inRange(0, 60);
        for (int i = 0; i < steps; ++i) {
            const std::string text(static_cast<std::size_t>(*rc::gen::inRange(0, 30)), static_cast<char>('a' + i % 26));
            const auto pending = bytes.buffers();
            const std::string content = contentOf(pending);
            if (*rc::gen::arbitrary<bool>()) {
                bytes.add(text);
            } else {
                bytes.add(std::make_shared<const std::string>(text));
            }
            added += text;
            RC_ASSERT(contentOf(pending) == content);
            const auto size = static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(content.size()) + 1));
            written += content.substr(0, size);
            bytes.onWritten(size);
        }
        while (!bytes.isEmpty()) {
            const std::string content = contentOf(bytes.buffers());
            RC_ASSERT_FALSE(content.empty());
            written += content;
            bytes.onWritten(content.size());
        }
        RC_ASSERT(written == added);
        RC_ASSERT(bytes.heldBytes() == 0U);
    }));
}
