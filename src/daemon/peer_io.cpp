#include "peer_io.h"

#include "kj_ring.h"
#include "peer_codec.h"

#include <arpa/inet.h>
#include <capnp/message.h>
#include <capnp/rpc-twoparty.h>
#include <glog/logging.h>
#include <map>

namespace limpettrestle {

namespace {

    constexpr kj::Duration kDeliverTimeout = 1 * kj::SECONDS;
    constexpr kj::Duration kConnectTimeout = 300 * kj::MILLISECONDS;
    constexpr kj::Duration kReconnectDelay = 100 * kj::MILLISECONDS;
    constexpr uint32_t kMaxOutstandingCalls = 256;
    constexpr size_t kMaxQueuedMessages = 20000;
    constexpr int kRingRetryMicros = 500;
    /// Traversal limit of a received message in words, enough for a configuration document of 1 MB.
    constexpr uint64_t kMaxTraversalWords = 8 << 20;

    class PeerServer final : public wire::Peer::Server {
    public:
        explicit PeerServer(SharedState& shared)
            : shared_(shared)
        {
        }

        kj::Promise<void> deliver(DeliverContext context) override
        {
            for (const auto entry : context.getParams().getMessages()) {
                PeerReceived received;
                const ResultCode code = decodePeerMessage(entry, received.message);
                if (code != ResultCode::Ok) {
                    ++shared_.badPeerMessages;
                    LOG(WARNING) << "event=bad_peer_message code=" << static_cast<int>(code);
                    continue;
                }
                // Blocks while the inbox is full, so that no message is lost and the sender sees backpressure.
                while (!shared_.post(received) && !shared_.isStopping)
                    usleep(kRingRetryMicros);
            }
            return kj::READY_NOW;
        }

    private:
        SharedState& shared_;
    };

    /// Connection to one peer and the messages queued for it.
    struct Link {
        InstanceId peer;
        std::string address;
        std::vector<std::shared_ptr<const PeerMessage>> queue;
        kj::Own<kj::AsyncIoStream> stream;
        kj::Own<capnp::TwoPartyClient> rpc;
        kj::Maybe<wire::Peer::Client> client;
        bool isConnecting = false;
        uint32_t outstandingCalls = 0;
        /// Time of the last successful `deliver` call. Also set when a call starts on an idle link.
        kj::TimePoint lastProgress = kj::origin<kj::TimePoint>();
        /// Incremented for each connection, so that a late failure of an old connection does not close a
        /// newer one.
        uint64_t generation = 0;
        kj::TimePoint earliestReconnect = kj::origin<kj::TimePoint>();
    };

    class PeerIo final : private kj::TaskSet::ErrorHandler {
    public:
        explicit PeerIo(SharedState& shared)
            : shared_(shared)
            , io_(kj::setupAsyncIo())
            , timer_(io_.provider->getTimer())
            , server_(kj::heap<PeerServer>(shared))
            , tasks_(*this)
        {
        }

        ResultCode listen(const Endpoint& endpoint)
        {
            const auto exception = kj::runCatchingExceptions([&] {
                receiver_ = makeAddress(endpoint)->listen();
            });
            if (exception != nullptr)
                return ResultCode::Internal;
            tasks_.add(server_.listen(*receiver_));
            return ResultCode::Ok;
        }

        void run()
        {
            KjRingReader<SendPeer> reader(
                io_.unixEventPort, shared_.peerMessages, [this](std::unique_ptr<SendPeer> send) { enqueue(*send); }, [this] { flushAll(); });
            kj::Promise<void> reading = reader.run();
            while (!shared_.isStopping) {
                timer_.afterDelay(50 * kj::MILLISECONDS).wait(io_.waitScope);
                failUnresponsiveLinks();
            }
        }

    private:
        void taskFailed(kj::Exception&&) override { }

        kj::Own<kj::NetworkAddress> makeAddress(const Endpoint& endpoint)
        {
            sockaddr_in ip {};
            ip.sin_family = AF_INET;
            inet_pton(AF_INET, endpoint.host.c_str(), &ip.sin_addr);
            ip.sin_port = htons(static_cast<uint16_t>(endpoint.port));
            return io_.provider->getNetwork().getSockaddr(&ip, sizeof(ip));
        }

        void enqueue(SendPeer& send)
        {
            Link& link = links_[send.to.value];
            link.peer = send.to;
            if (link.address != send.address) {
                link.address = send.address;
                closeLink(link);
            }
            link.queue.push_back(std::move(send.message));
            linksToFlush_.push_back(&link);
        }

        void flushAll()
        {
            std::vector<Link*> links;
            links.swap(linksToFlush_);
            for (Link* link : links)
                flush(*link);
        }

        /// Sends the queued messages in one call, or connects first. Messages stay queued while the connection
        /// attempt lasts or `kMaxOutstandingCalls` calls are outstanding.
        void flush(Link& link)
        {
            if (link.queue.empty() || link.isConnecting)
                return;
            if (link.client == nullptr) {
                connect(link);
                return;
            }
            if (link.outstandingCalls >= kMaxOutstandingCalls) {
                if (link.queue.size() > kMaxQueuedMessages)
                    failLink(link, link.generation);
                return;
            }
            send(link);
        }

        /// Starts a connection attempt. During the reconnect delay, or if the address is malformed, drops the
        /// queued messages and reports the peer as failed instead.
        void connect(Link& link)
        {
            Endpoint endpoint;
            if (timer_.now() < link.earliestReconnect || !parseEndpoint(link.address, endpoint)) {
                link.queue.clear();
                postPeerFailed(link);
                return;
            }
            link.isConnecting = true;
            const uint64_t generation = ++link.generation;
            auto target = makeAddress(endpoint);
            auto connecting = timer_.timeoutAfter(kConnectTimeout, target->connect()).attach(kj::mv(target));
            tasks_.add(connecting.then(
                [this, &link, generation](kj::Own<kj::AsyncIoStream>&& stream) {
                    if (link.generation != generation)
                        return;
                    const int on = 1;
                    stream->setsockopt(IPPROTO_TCP, 1 /* TCP_NODELAY */, &on, sizeof(on));
                    link.isConnecting = false;
                    link.stream = kj::mv(stream);
                    link.rpc = kj::heap<capnp::TwoPartyClient>(*link.stream);
                    link.client = link.rpc->bootstrap().castAs<wire::Peer>();
                    watchDisconnect(link);
                    flush(link);
                },
                [this, &link, generation](kj::Exception&&) { failLink(link, generation); }));
        }

        /// Closes the connection when the peer disconnects, so that the next message is sent on a new
        /// connection instead of being lost on the old one.
        void watchDisconnect(Link& link)
        {
            const uint64_t generation = link.generation;
            tasks_.add(link.rpc->onDisconnect().then([this, &link, generation] {
                if (link.generation == generation && link.outstandingCalls > 0)
                    failLink(link, generation);
                else
                    closeLinkLater(link, generation);
            }));
        }

        /// Closes the connection in a later turn of the event loop, because it must not be destroyed in
        /// its own callback.
        void closeLinkLater(Link& link, uint64_t generation)
        {
            tasks_.add(kj::evalLater([this, &link, generation] {
                if (link.generation == generation)
                    closeLink(link);
            }));
        }

        void send(Link& link)
        {
            KJ_IF_MAYBE (client, link.client) {
                auto request = client->deliverRequest();
                auto messages = request.initMessages(static_cast<uint32_t>(link.queue.size()));
                for (uint32_t i = 0; i < link.queue.size(); ++i)
                    encodePeerMessage(*link.queue[i], messages[i]);
                countBytes(link, messages);
                link.queue.clear();
                if (++link.outstandingCalls == 1)
                    link.lastProgress = timer_.now();
                const uint64_t generation = link.generation;
                tasks_.add(request.send().ignoreResult().then([this, &link, generation] { onDelivered(link, generation); }, [this, &link, generation](kj::Exception&&) { failLink(link, generation); }));
            }
        }

        void onDelivered(Link& link, uint64_t generation)
        {
            if (link.generation != generation)
                return;
            --link.outstandingCalls;
            link.lastProgress = timer_.now();
            flush(link);
        }

        /// Fails links on which no call has returned for longer than `kDeliverTimeout`.
        void failUnresponsiveLinks()
        {
            for (auto& [peer, link] : links_) {
                const bool isUnresponsive = link.outstandingCalls > 0 && timer_.now() - link.lastProgress > kDeliverTimeout;
                if (isUnresponsive)
                    failLink(link, link.generation);
            }
        }

        void countBytes(const Link& link, capnp::List<wire::Message>::Builder messages)
        {
            for (uint32_t i = 0; i < messages.size(); ++i) {
                const uint64_t bytes = messages[i].asReader().totalSize().wordCount * sizeof(capnp::word);
                shared_.peerBytesOut += bytes;
                if (isControlMessage(link.queue[i]->body))
                    shared_.controlBytesOut += bytes;
            }
        }

        void closeLink(Link& link)
        {
            ++link.generation;
            link.client = nullptr;
            link.rpc = nullptr;
            link.stream = nullptr;
            link.outstandingCalls = 0;
            link.isConnecting = false;
        }

        /// Drops the queued messages, reports the peer as failed and closes the connection, unless a newer
        /// connection has replaced it.
        void failLink(Link& link, uint64_t generation)
        {
            if (link.generation != generation)
                return;
            link.queue.clear();
            link.earliestReconnect = timer_.now() + kReconnectDelay;
            postPeerFailed(link);
            closeLinkLater(link, generation);
        }

        void postPeerFailed(const Link& link)
        {
            while (!shared_.post(PeerFailed { link.peer }) && !shared_.isStopping)
                usleep(kRingRetryMicros);
        }

        SharedState& shared_;
        kj::AsyncIoContext io_;
        kj::Timer& timer_;
        capnp::TwoPartyServer server_;
        kj::Own<kj::ConnectionReceiver> receiver_;
        std::map<uint64_t, Link> links_;
        std::vector<Link*> linksToFlush_;
        kj::TaskSet tasks_;
    };

} // namespace

ResultCode runPeerIo(SharedState& shared, const Endpoint& listen, std::atomic<bool>& isListening)
{
    PeerIo io(shared);
    const ResultCode code = io.listen(listen);
    if (code != ResultCode::Ok)
        return code;
    isListening = true;
    io.run();
    return ResultCode::Ok;
}

} // namespace limpettrestle
