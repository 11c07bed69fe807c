/// Limits on the clients of all listeners of a gateway.

#include "gateway.h"
#include "page_server.h"

namespace limpettrestle {

HttpServerStats Gateway::clientStats() const
{
    HttpServerStats total = callerServer_->stats();
    total += peerServer_->server.stats();
    for (const auto& pageServer : pageServers_)
        total += pageServer->server.stats();
    return total;
}

size_t Gateway::clientConnections() const
{
    size_t connections = callerServer_->connections() + peerServer_->server.connections();
    for (const auto& pageServer : pageServers_)
        connections += pageServer->server.connections();
    return connections;
}

void Gateway::logClientLimits()
{
    const HttpServerStats now = clientStats();
    const HttpServerStats& before = loggedClientStats_;
    const uint64_t refused = now.refusedWithoutMemory - before.refusedWithoutMemory;
    const uint64_t notTaken = now.answersNotTaken - before.answersNotTaken;
    const uint64_t evicted = now.evicted - before.evicted;
    if (refused + notTaken + evicted > 0) {
        log_.logger().warn("event=clients_limited {}={} {}={} {}={} client_bytes={} connections={}", resultCodeInfo(ResultCode::ClientMemoryFull).name, refused,
            resultCodeInfo(ResultCode::AnswerNotTaken).name, notTaken, resultCodeInfo(ResultCode::ConnectionsFull).name, evicted, ClientBudget::ofProcess().bytes(), clientConnections());
    }
    loggedClientStats_ = now;
}

} // namespace limpettrestle
