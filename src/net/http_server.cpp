#include "http_server_connection_p.h"

namespace limpettrestle {

namespace {

    /// Length of the listen queue; the kernel does not complete further connections until there is room.
    constexpr int kBacklog = 512;

} // namespace

HttpServerStats& HttpServerStats::operator+=(const HttpServerStats& other)
{
    accepted += other.accepted;
    badRequests += other.badRequests;
    timeouts += other.timeouts;
    refusedWithoutMemory += other.refusedWithoutMemory;
    answersNotTaken += other.answersNotTaken;
    evicted += other.evicted;
    return *this;
}

HttpServer::HttpServer(uv_loop_t* loop, HttpHandlerI& handler, const ClockI& clock, ClientBudget& budget)
    : loop_(loop)
    , handler_(handler)
    , clock_(clock)
    , budget_(budget)
{
}

HttpServer::~HttpServer() = default;

bool HttpServer::listen(const std::string& host, int port)
{
    listener_ = new uv_tcp_t;
    uv_tcp_init(loop_, listener_);
    listener_->data = this;
    sockaddr_in address {};
    const bool isBound = uv_ip4_addr(host.c_str(), port, &address) == 0 && uv_tcp_bind(listener_, reinterpret_cast<const sockaddr*>(&address), 0) == 0;
    limitKernelBuffers(listener_);
    if (isBound && uv_listen(reinterpret_cast<uv_stream_t*>(listener_), kBacklog, onConnection) == 0)
        return true;
    stopListening();
    return false;
}

void HttpServer::onConnection(uv_stream_t* listener, int status)
{
    auto& server = *static_cast<HttpServer*>(listener->data);
    if (status != 0)
        return;
    auto* connection = new Connection(server, ++server.stats_.accepted);
    server.connections_[server.stats_.accepted] = connection;
    if (connection->accept(listener))
        server.makeRoomFor(connection);
    else
        connection->close();
}

void HttpServer::makeRoomFor(Connection* newest)
{
    if (connections_.size() <= maxConnections_)
        return;
    Connection* evicted = findEvictable(newest);
    if (evicted == nullptr) {
        handler_.onAllBusy();
        evicted = findEvictable(newest);
    }
    ++stats_.evicted;
    (evicted == nullptr ? newest : evicted)->close();
}

HttpServer::Connection* HttpServer::findEvictable(const Connection* except) const
{
    const TimePoint now = clock_.now();
    Connection* first = nullptr;
    for (const auto& [id, connection] : connections_) {
        if (connection != except && connection->isEvictable() && (first == nullptr || connection->isEvictedBefore(*first, now)))
            first = connection;
    }
    return first;
}

void HttpServer::respond(ExchangeId exchange, HttpResponse response)
{
    const auto found = exchanges_.find(exchange);
    if (found == exchanges_.end())
        return;
    Connection* connection = found->second;
    exchanges_.erase(found);
    connection->respond(std::move(response));
}

void HttpServer::checkTimeouts()
{
    const TimePoint now = clock_.now();
    std::vector<Connection*> all;
    all.reserve(connections_.size());
    for (const auto& [id, connection] : connections_)
        all.push_back(connection);
    // Closing one connection closes no other, so the pointers stay valid.
    for (Connection* connection : all)
        connection->checkTimeouts(now);
}

void HttpServer::stopListening()
{
    if (listener_ == nullptr)
        return;
    uv_close(reinterpret_cast<uv_handle_t*>(listener_), [](uv_handle_t* handle) { delete reinterpret_cast<uv_tcp_t*>(handle); });
    listener_ = nullptr;
}

bool HttpServer::hasUnsentResponses() const
{
    return std::any_of(connections_.begin(), connections_.end(), [](const auto& entry) { return entry.second->unsentBytes() > 0; });
}

size_t HttpServer::busyConnections() const
{
    return static_cast<size_t>(std::count_if(connections_.begin(), connections_.end(), [](const auto& entry) { return !entry.second->isIdle(); }));
}

void HttpServer::closeIdle()
{
    std::vector<Connection*> idle;
    for (const auto& [id, connection] : connections_) {
        if (connection->isIdle())
            idle.push_back(connection);
    }
    for (Connection* connection : idle)
        connection->close();
}

} // namespace limpettrestle
