#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace balsamhook
{

/// What each client of a crowd does on its connection. A client whose connection ends opens another one.
struct client_behaviour
{
    std::uint16_t port = 0;
    std::size_t clients = 0;
    std::string opening; ///< Sent first.
    std::string repeated; ///< Sent again and again after it, up to repeatedBytes.
    std::size_t repeatedBytes = 0;
    std::chrono::milliseconds pause{0}; ///< Between two pieces that are sent.
    bool isReading = false; ///< Reads slowly; otherwise never.
    bool isLeaving = false; ///< Closes the connection once all is sent.
};

/// Clients that don't behave, on loopback sockets in a thread of their own, until the crowd is destroyed.
class client_crowd
{
public:
    client_crowd(std::string address, const std::vector<client_behaviour> &behaviours)
        : m_address(boost::asio::ip::make_address(address))
    {
        std::size_t number = 0;
        for (const client_behaviour &behaviour : behaviours) {
            const auto shared = std::make_shared<const client_behaviour>(behaviour);
            for (std::size_t i = 0; i < behaviour.clients; ++i) {
                connectAfter(shared, StartInterval * ++number);
            }
        }
        m_thread = std::thread([this] { m_io.run(); });
    }

    ~client_crowd()
    {
        m_io.stop();
        m_thread.join();
    }

    client_crowd(const client_crowd &) = delete;
    client_crowd &operator=(const client_crowd &) = delete;

private:
    using tcp = boost::asio::ip::tcp;
    using error = boost::system::error_code;
    using behaviour_pointer = std::shared_ptr<const client_behaviour>;

    static constexpr std::chrono::milliseconds StartInterval{5};
    static constexpr std::chrono::milliseconds ReconnectInterval{200};
    static constexpr std::chrono::milliseconds ReadInterval{200};
    static constexpr std::size_t ReadBytes = 512;
    /// Keeps what the process under test sends on its side.
    static constexpr int ReceiveBufferBytes = 4096;
    static constexpr std::size_t PieceBytes = 32 * 1024;

    struct client
    {
        client(boost::asio::io_context &io, behaviour_pointer wanted)
            : behaviour(std::move(wanted))
            , socket(io)
            , readTimer(io)
            , writeTimer(io)
        {
            while (!behaviour->repeated.empty() && piece.size() < PieceBytes) {
                piece += behaviour->repeated;
            }
        }

        behaviour_pointer behaviour;
        tcp::socket socket;
        boost::asio::steady_timer readTimer;
        boost::asio::steady_timer writeTimer;
        std::string piece;
        std::size_t written = 0;
        std::array<char, ReadBytes> received{};
        bool isOver = false;
    };

    using client_pointer = std::shared_ptr<client>;

    void connectAfter(const behaviour_pointer &behaviour, std::chrono::milliseconds delay)
    {
        const auto timer = std::make_shared<boost::asio::steady_timer>(m_io, delay);
        timer->async_wait([this, behaviour, timer](const error &) { connect(behaviour); });
    }

    void connect(const behaviour_pointer &behaviour)
    {
        const auto opened = std::make_shared<client>(m_io, behaviour);
        error ignored;
        opened->socket.open(tcp::v4(), ignored);
        opened->socket.set_option(boost::asio::socket_base::receive_buffer_size(ReceiveBufferBytes), ignored);
        opened->socket.async_connect({m_address, behaviour->port}, [this, opened](const error &failed) {
            if (failed) {
                end(opened);
                return;
            }
            if (opened->behaviour->isReading) {
                read(opened);
            }
            boost::asio::async_write(opened->socket, boost::asio::buffer(opened->behaviour->opening), [this, opened](const error &closed, std::size_t) {
                if (closed) {
                    end(opened);
                    return;
                }
                write(opened);
            });
        });
    }

    void end(const client_pointer &ended)
    {
        if (ended->isOver) {
            return;
        }
        ended->isOver = true;
        error ignored;
        ended->socket.close(ignored);
        connectAfter(ended->behaviour, ReconnectInterval);
    }

    void write(const client_pointer &opened)
    {
        if (opened->written >= opened->behaviour->repeatedBytes) {
            if (opened->behaviour->isLeaving) {
                end(opened);
            } else {
                waitForEnd(opened);
            }
            return;
        }
        boost::asio::async_write(opened->socket, boost::asio::buffer(opened->piece), [this, opened](const error &closed, std::size_t size) {
            opened->written += size;
            if (closed) {
                end(opened);
                return;
            }
            opened->writeTimer.expires_after(opened->behaviour->pause);
            opened->writeTimer.async_wait([this, opened](const error &) { write(opened); });
        });
    }

    void read(const client_pointer &opened)
    {
        opened->socket.async_read_some(boost::asio::buffer(opened->received), [this, opened](const error &closed, std::size_t) {
            if (closed) {
                end(opened);
                return;
            }
            opened->readTimer.expires_after(ReadInterval);
            opened->readTimer.async_wait([this, opened](const error &) { read(opened); });
        });
    }

    /// Notices the end of a connection without reading from it.
    void waitForEnd(const client_pointer &opened)
    {
        opened->socket.async_wait(tcp::socket::wait_error, [this, opened](const error &) { end(opened); });
    }

    boost::asio::io_context m_io{1};
    boost::asio::ip::address m_address;
    std::thread m_thread;
};

} // namespace balsamhook
