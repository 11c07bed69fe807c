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
    constexpr kj::Duration kReconnectPause = 100 * kj::MILLISECONDS;
    constexpr uint32_t kMaxOutstanding = 256;
    constexpr size_t kMaxQueued = 20000;
    constexpr int kRingRetryMicros = 500;
    /// Words a message may read: a configuration document of 1 MB and some room.
    constexpr uint64_t kTraversalWords = 8 << 20;

    class PeerServer final : public wire::Peer::Server {
    public:
        explicit PeerServer(Hub& hub)
            : hub_(hub)
        {
        }

        kj::Promise<void> deliver(DeliverContext context) override
        {
            for (const auto entry : context.getParams().getMessages()) {
                PeerReceived received;
                const ResultCode code = decodePeerMessage(entry, received.message);
                if (code != ResultCode::Ok) {
                    ++hub_.badPeerMessages;
                    LOG(WARNING) << "event=bad_peer_message code=" << static_cast<int>(code);
                    continue;
                }
                // A full inbox holds the sender back; nothing is lost.
                while (!hub_.post(received) && !hub_.stop)
                    usleep(kRingRetryMicros);
            }
            return kj::READY_NOW;
        }

    private:
        Hub& hub_;
    };

    /// Connection to one peer and what waits for it.
    struct Link {
        InstanceId peer;
        std::string address;
        std::vector<std::shared_ptr<const PeerMessage>> queue;
        kj::Own<kj::AsyncIoStream> stream;
        kj::Own<capnp::TwoPartyClient> rpc;
        kj::Maybe<wire::Peer::Client> client;
        bool isConnecting = false;
        uint32_t outstanding = 0;
        /// Since when calls are out without any of them having returned.
        kj::TimePoint waitingSince = kj::origin<kj::TimePoint>();
        /// Distinguishes connections, so that a late failure does not end a newer one.
        uint64_t generation = 0;
        kj::TimePoint notBefore = kj::origin<kj::TimePoint>();
    };

    class PeerIo final : private kj::TaskSet::ErrorHandler {
    public:
        explicit PeerIo(Hub& hub)
            : hub_(hub)
            , io_(kj::setupAsyncIo())
            , timer_(io_.provider->getTimer())
            , server_(kj::heap<PeerServer>(hub))
            , tasks_(*this)
        {
        }

        ResultCode listen(const Endpoint& endpoint)
        {
            const auto problem = kj::runCatchingExceptions([&] {
                receiver_ = address(endpoint)->listen();
            });
            if (problem != nullptr)
                return ResultCode::Internal;
            tasks_.add(server_.listen(*receiver_));
            return ResultCode::Ok;
        }

        void run()
        {
            KjRingReader<SendPeer> reader(
                io_.unixEventPort, hub_.peerMessages, [this](std::unique_ptr<SendPeer> send) { take(*send); }, [this] { flushAll(); });
            kj::Promise<void> reading = reader.run();
            while (!hub_.stop) {
                timer_.afterDelay(50 * kj::MILLISECONDS).wait(io_.waitScope);
                failSilentLinks();
            }
        }

    private:
        void taskFailed(kj::Exception&&) override { }

        kj::Own<kj::NetworkAddress> address(const Endpoint& endpoint)
        {
            sockaddr_in ip {};
            ip.sin_family = AF_INET;
            inet_pton(AF_INET, endpoint.host.c_str(), &ip.sin_addr);
            ip.sin_port = htons(static_cast<uint16_t>(endpoint.port));
            return io_.provider->getNetwork().getSockaddr(&ip, sizeof(ip));
        }

        void take(SendPeer& send)
        {
            Link& link = links_[send.to.value];
            link.peer = send.to;
            if (link.address != send.address) {
                link.address = send.address;
                close(link);
            }
            link.queue.push_back(std::move(send.message));
            dirty_.push_back(&link);
        }

        void flushAll()
        {
            std::vector<Link*> dirty;
            dirty.swap(dirty_);
            for (Link* link : dirty)
                flush(*link);
        }

        void flush(Link& link)
        {
            if (link.queue.empty() || link.isConnecting)
                return;
            if (link.client == nullptr) {
                connect(link);
                return;
            }
            if (link.outstanding >= kMaxOutstanding) {
                if (link.queue.size() > kMaxQueued)
                    fail(link, link.generation);
                return;
            }
            send(link);
        }

        void connect(Link& link)
        {
            Endpoint endpoint;
            if (timer_.now() < link.notBefore || !parseEndpoint(link.address, endpoint)) {
                link.queue.clear();
                report(link);
                return;
            }
            link.isConnecting = true;
            const uint64_t generation = ++link.generation;
            auto target = address(endpoint);
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
                    watch(link);
                    flush(link);
                },
                [this, &link, generation](kj::Exception&&) { fail(link, generation); }));
        }

        /// Takes a link down when its peer ends, so that the next message meets a new connection and
        /// is not lost on the old one.
        void watch(Link& link)
        {
            const uint64_t generation = link.generation;
            tasks_.add(link.rpc->onDisconnect().then([this, &link, generation] {
                if (link.generation == generation && link.outstanding > 0)
                    fail(link, generation);
                else
                    closeLater(link, generation);
            }));
        }

        /// Takes a connection down outside its own callback.
        void closeLater(Link& link, uint64_t generation)
        {
            tasks_.add(kj::evalLater([this, &link, generation] {
                if (link.generation == generation)
                    close(link);
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
                if (++link.outstanding == 1)
                    link.waitingSince = timer_.now();
                const uint64_t generation = link.generation;
                tasks_.add(request.send().ignoreResult().then([this, &link, generation] { onDelivered(link, generation); }, [this, &link, generation](kj::Exception&&) { fail(link, generation); }));
            }
        }

        void onDelivered(Link& link, uint64_t generation)
        {
            if (link.generation != generation)
                return;
            --link.outstanding;
            link.waitingSince = timer_.now();
            flush(link);
        }

        /// Gives up on links whose calls do not return.
        void failSilentLinks()
        {
            for (auto& [peer, link] : links_) {
                const bool isSilent = link.outstanding > 0 && timer_.now() - link.waitingSince > kDeliverTimeout;
                if (isSilent)
                    fail(link, link.generation);
            }
        }

        void countBytes(const Link& link, capnp::List<wire::Message>::Builder messages)
        {
            for (uint32_t i = 0; i < messages.size(); ++i) {
                const uint64_t bytes = messages[i].asReader().totalSize().wordCount * sizeof(capnp::word);
                hub_.peerBytesOut += bytes;
                if (isControlMessage(link.queue[i]->body))
                    hub_.controlBytesOut += bytes;
            }
        }

        void close(Link& link)
        {
            ++link.generation;
            link.client = nullptr;
            link.rpc = nullptr;
            link.stream = nullptr;
            link.outstanding = 0;
            link.isConnecting = false;
        }

        void fail(Link& link, uint64_t generation)
        {
            if (link.generation != generation)
                return;
            link.queue.clear();
            link.notBefore = timer_.now() + kReconnectPause;
            report(link);
            closeLater(link, generation);
        }

        void report(const Link& link)
        {
            while (!hub_.post(PeerFailed { link.peer }) && !hub_.stop)
                usleep(kRingRetryMicros);
        }

        Hub& hub_;
        kj::AsyncIoContext io_;
        kj::Timer& timer_;
        capnp::TwoPartyServer server_;
        kj::Own<kj::ConnectionReceiver> receiver_;
        std::map<uint64_t, Link> links_;
        std::vector<Link*> dirty_;
        kj::TaskSet tasks_;
    };

} // namespace

ResultCode runPeerIo(Hub& hub, const Endpoint& listen, std::atomic<bool>& isListening)
{
    PeerIo io(hub);
    const ResultCode code = io.listen(listen);
    if (code != ResultCode::Ok)
        return code;
    isListening = true;
    io.run();
    return ResultCode::Ok;
}

} // namespace limpettrestle
