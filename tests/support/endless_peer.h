#pragma once

/// TCP peer on the loopback interface that answers each connection with bytes without end.

#include <atomic>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace limpettrestle {

/// Sends `start` once after the first bytes of the other side, then `block` again and again until the other side closes.
/// `pauseMillis` is the pause between two blocks; 0 sends as fast as possible.
class EndlessPeer {
public:
    EndlessPeer(std::string start, std::string block, int pauseMillis)
        : start_(std::move(start))
        , block_(std::move(block))
        , pauseMillis_(pauseMillis)
        , listener_(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        constexpr int kBacklog = 512;
        if (bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 || listen(listener_, kBacklog) != 0)
            throw std::runtime_error("cannot listen on the loopback interface");
        socklen_t length = sizeof(address);
        getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
        port_ = ntohs(address.sin_port);
        fcntl(listener_, F_SETFL, O_NONBLOCK);
        thread_ = std::thread([this] { serve(); });
    }
    ~EndlessPeer()
    {
        isStopping_ = true;
        thread_.join();
        close(listener_);
        for (const Connection& connection : connections_)
            close(connection.descriptor);
    }
    EndlessPeer(const EndlessPeer&) = delete;
    EndlessPeer& operator=(const EndlessPeer&) = delete;

    int port() const { return port_; }
    /// Connections that the other side has closed.
    int closedByOther() const { return closedByOther_; }

private:
    struct Connection {
        int descriptor = -1;
        bool isStarted = false;
    };

    void serve()
    {
        while (!isStopping_) {
            for (int descriptor = accept(listener_, nullptr, nullptr); descriptor >= 0; descriptor = accept(listener_, nullptr, nullptr)) {
                fcntl(descriptor, F_SETFL, O_NONBLOCK);
                connections_.push_back({ descriptor, false });
            }
            bool isBusy = false;
            std::erase_if(connections_, [&](Connection& connection) { return !sendMore(connection, isBusy); });
            poll(nullptr, 0, pauseMillis_ > 0 ? pauseMillis_ : (isBusy ? 0 : 1));
        }
    }

    /// Returns false when the other side has closed the connection.
    bool sendMore(Connection& connection, bool& isBusy)
    {
        char received[4096];
        const ssize_t count = recv(connection.descriptor, received, sizeof(received), 0);
        const bool isOpen = count > 0 || (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
        if (isOpen && !connection.isStarted && count <= 0)
            return true;
        const std::string& bytes = connection.isStarted ? block_ : start_;
        connection.isStarted = true;
        const ssize_t sent = isOpen ? send(connection.descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) : -1;
        isBusy |= sent > 0;
        if (isOpen && (sent >= 0 || errno == EAGAIN || errno == EWOULDBLOCK))
            return true;
        close(connection.descriptor);
        ++closedByOther_;
        return false;
    }

    const std::string start_;
    const std::string block_;
    const int pauseMillis_;
    int listener_;
    int port_ = 0;
    std::atomic<bool> isStopping_ { false };
    std::atomic<int> closedByOther_ { 0 };
    std::vector<Connection> connections_;
    std::thread thread_;
};

} // namespace limpettrestle
