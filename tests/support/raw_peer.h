#pragma once

/// TCP peer on the loopback interface that sends scripted bytes, for tests of connections.

#include <cstddef>
#include <netinet/in.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace limpettrestle {

/// Bytes that a connection may read in one turn of the event loop (docs/GATEWAY.md, shares of reading).
constexpr size_t kMaxReadShareBytes = 8 << 10;

/// Returns a port of the loopback interface that was free at the time of the call.
inline int freePort()
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    const bool isBound = bind(descriptor, reinterpret_cast<sockaddr*>(&address), length) == 0 && getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length) == 0;
    close(descriptor);
    if (!isBound)
        throw std::runtime_error("no free port on the loopback interface");
    return ntohs(address.sin_port);
}

/// How a peer ends its connection.
enum class PeerEnd {
    Graceful,
    Reset,
    StayOpen,
};

/// Accepts one connection, reads once, sends `reply` and then ends the connection as `end` says.
class RawPeer {
public:
    RawPeer(std::string reply, PeerEnd end)
        : reply_(std::move(reply))
        , end_(end)
        , listener_(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 || listen(listener_, 1) != 0)
            throw std::runtime_error("cannot listen on the loopback interface");
        socklen_t length = sizeof(address);
        getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
        port_ = ntohs(address.sin_port);
        thread_ = std::thread([this] { serve(); });
    }
    ~RawPeer()
    {
        shutdown(listener_, SHUT_RDWR);
        thread_.join();
        close(listener_);
        if (connection_ >= 0)
            close(connection_);
    }
    RawPeer(const RawPeer&) = delete;
    RawPeer& operator=(const RawPeer&) = delete;

    int port() const { return port_; }
    const std::string& received() const { return received_; }

private:
    void serve()
    {
        connection_ = accept(listener_, nullptr, nullptr);
        if (connection_ < 0)
            return;
        char buffer[4096];
        const ssize_t count = recv(connection_, buffer, sizeof(buffer), 0);
        if (count > 0)
            received_.assign(buffer, static_cast<size_t>(count));
        send(connection_, reply_.data(), reply_.size(), MSG_NOSIGNAL);
        if (end_ == PeerEnd::StayOpen)
            return;
        if (end_ == PeerEnd::Reset) {
            const linger resetOnClose { 1, 0 };
            setsockopt(connection_, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof(resetOnClose));
        }
        close(connection_);
        connection_ = -1;
    }

    std::string reply_;
    PeerEnd end_;
    int listener_;
    int connection_ = -1;
    int port_ = 0;
    std::string received_;
    std::thread thread_;
};

} // namespace limpettrestle
