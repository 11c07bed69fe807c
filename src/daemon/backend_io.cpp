#include "backend_io.h"

#include "backend_protocol.h"
#include "kj_ring.h"

#include <arpa/inet.h>
#include <deque>
#include <glog/logging.h>
#include <kj/compat/http.h>

namespace limpettrestle {

namespace {

    /// Wait past the server's budget before a call is cut off.
    constexpr Millis kCallGrace { 100 };
    constexpr size_t kMaxReplyBytes = 4 << 20;
    constexpr size_t kMaxIdleConnections = 8;
    constexpr int kRingRetryMicros = 500;

    /// Connection to one server with its HTTP client.
    struct Connection {
        kj::Own<kj::AsyncIoStream> stream;
        kj::Own<kj::HttpClient> client;
    };

    /// Connections to one server.
    struct Server {
        kj::Own<kj::NetworkAddress> address;
        std::deque<kj::Own<Connection>> idle;
    };

    class BackendIo final : private kj::TaskSet::ErrorHandler {
    public:
        explicit BackendIo(Hub& hub)
            : hub_(hub)
            , io_(kj::setupAsyncIo())
            , tasks_(*this)
        {
            kj::HttpHeaderTable::Builder builder;
            callHeader_ = builder.add(backend_protocol::kCallHeader);
            replyHeader_ = builder.add(backend_protocol::kReplyHeader);
            table_ = builder.build();
        }

        void run()
        {
            KjRingReader<BackendCommand> reader(
                io_.unixEventPort, hub_.backendCommands, [this](std::unique_ptr<BackendCommand> command) { take(*command); }, [] {});
            kj::Promise<void> reading = reader.run();
            while (!hub_.stop)
                io_.provider->getTimer().afterDelay(50 * kj::MILLISECONDS).wait(io_.waitScope);
        }

    private:
        void taskFailed(kj::Exception&& exception) override
        {
            LOG(ERROR) << "event=backend_task_failed detail=\"" << exception.getDescription().cStr() << "\"";
        }

        void take(BackendCommand& command)
        {
            if (auto* call = std::get_if<CallBackend>(&command))
                tasks_.add(startCall(std::move(*call)));
            else if (auto* cancel = std::get_if<CancelBackend>(&command))
                tasks_.add(sendCancel(*cancel));
        }

        Server* server(const std::string& address)
        {
            const auto it = servers_.find(address);
            if (it != servers_.end())
                return &it->second;
            Endpoint endpoint;
            sockaddr_in ip {};
            ip.sin_family = AF_INET;
            if (!parseEndpoint(address, endpoint) || inet_pton(AF_INET, endpoint.host.c_str(), &ip.sin_addr) != 1)
                return nullptr;
            ip.sin_port = htons(static_cast<uint16_t>(endpoint.port));
            Server fresh;
            fresh.address = io_.provider->getNetwork().getSockaddr(&ip, sizeof(ip));
            return &servers_.emplace(address, std::move(fresh)).first->second;
        }

        kj::Promise<kj::Own<Connection>> connect(Server& target)
        {
            if (!target.idle.empty()) {
                kj::Own<Connection> connection = kj::mv(target.idle.front());
                target.idle.pop_front();
                return kj::mv(connection);
            }
            return target.address->connect().then([this](kj::Own<kj::AsyncIoStream>&& stream) {
                const int on = 1;
                stream->setsockopt(IPPROTO_TCP, 1 /* TCP_NODELAY */, &on, sizeof(on));
                auto connection = kj::heap<Connection>();
                connection->client = kj::newHttpClient(*table_, *stream);
                connection->stream = kj::mv(stream);
                return connection;
            });
        }

        void keep(Server& target, kj::Own<Connection> connection)
        {
            if (target.idle.size() < kMaxIdleConnections)
                target.idle.push_back(kj::mv(connection));
        }

        /// Sends one request and reads its whole reply.
        kj::Promise<kj::String> exchange(Connection& connection, const char* path, kj::StringPtr call, const Body& body, kj::String& replyHeader)
        {
            kj::HttpHeaders headers(*table_);
            headers.set(kj::HttpHeaderId::HOST, kj::str("shard"));
            headers.set(callHeader_, kj::str(call));
            const size_t size = body ? body->size() : 0;
            auto request = connection.client->request(kj::HttpMethod::POST, path, headers, static_cast<uint64_t>(size));
            kj::Promise<void> written = size == 0 ? kj::Promise<void>(kj::READY_NOW) : request.body->write(body->data(), size);
            written = written.attach(kj::mv(request.body));
            return written.then([response = kj::mv(request.response)]() mutable { return kj::mv(response); })
                .then([this, &replyHeader](kj::HttpClient::Response&& response) {
                    KJ_IF_MAYBE (value, response.headers->get(replyHeader_))
                        replyHeader = kj::str(*value);
                    auto text = response.body->readAllText(kMaxReplyBytes);
                    return text.attach(kj::mv(response.body));
                });
        }

        struct CallState {
            CallBackend call;
            bool sent = false;
            kj::Own<Connection> connection;
            kj::String replyHeader;
        };

        kj::Promise<void> startCall(CallBackend call)
        {
            const BackendCallId id = call.call;
            Server* target = server(call.address);
            if (!target) {
                fail(id, ResultCode::ConnectFailed, false);
                return kj::READY_NOW;
            }
            auto state = kj::heap<CallState>();
            CallState& s = *state;
            s.call = std::move(call);
            const kj::Duration limit = (s.call.request.budget + kCallGrace) / Micros(1) * kj::MICROSECONDS;
            auto exchange = connect(*target).then([this, &s](kj::Own<Connection>&& connection) {
                s.connection = kj::mv(connection);
                s.sent = true;
                const std::string header = backend_protocol::encodeCall(s.call.request);
                return this->exchange(*s.connection, backend_protocol::kPath, header.c_str(), s.call.request.body, s.replyHeader);
            });
            auto bounded = io_.provider->getTimer().timeoutAfter(limit, kj::mv(exchange));
            return bounded
                .then(
                    [this, &s, target](kj::String&& body) {
                        keep(*target, kj::mv(s.connection));
                        finish(s, kj::mv(body));
                    },
                    [this, &s](kj::Exception&& exception) {
                        const bool isTimeout = exception.getType() == kj::Exception::Type::OVERLOADED;
                        ResultCode code = isTimeout ? ResultCode::AttemptTimeout : ResultCode::ConnectionLost;
                        if (!s.sent)
                            code = ResultCode::ConnectFailed;
                        fail(s.call.call, code, s.sent);
                    })
                .attach(kj::mv(state));
        }

        void finish(CallState& state, kj::String body)
        {
            BackendReply reply;
            const std::string_view header(state.replyHeader.cStr(), state.replyHeader.size());
            const ResultCode code = backend_protocol::decodeReply(header, std::string(body.cStr(), body.size()), reply);
            if (code == ResultCode::Ok)
                post(BackendReplied { state.call.call, std::move(reply) });
            else
                fail(state.call.call, code, true);
        }

        kj::Promise<void> sendCancel(const CancelBackend& cancel)
        {
            Server* target = server(cancel.address);
            if (!target)
                return kj::READY_NOW;
            auto state = kj::heap<CallState>();
            CallState& s = *state;
            const std::string header = backend_protocol::toString(cancel.attempt);
            auto done = connect(*target).then([this, &s, header](kj::Own<Connection>&& connection) {
                s.connection = kj::mv(connection);
                return exchange(*s.connection, backend_protocol::kCancelPath, header.c_str(), nullptr, s.replyHeader);
            });
            return io_.provider->getTimer()
                .timeoutAfter(kCallGrace / Micros(1) * kj::MICROSECONDS, kj::mv(done))
                .then([this, &s, target](kj::String&&) { keep(*target, kj::mv(s.connection)); }, [](kj::Exception&&) {})
                .attach(kj::mv(state));
        }

        void fail(BackendCallId id, ResultCode code, bool sent)
        {
            post(BackendFailed { id, code, sent });
        }

        /// A result is never lost: waits for room in the inbox.
        void post(const Event& event)
        {
            while (!hub_.post(event) && !hub_.stop)
                usleep(kRingRetryMicros);
        }

        Hub& hub_;
        kj::AsyncIoContext io_;
        kj::HttpHeaderId callHeader_;
        kj::HttpHeaderId replyHeader_;
        kj::Own<kj::HttpHeaderTable> table_;
        std::unordered_map<std::string, Server> servers_;
        kj::TaskSet tasks_;
    };

} // namespace

void runBackendIo(Hub& hub)
{
    BackendIo io(hub);
    io.run();
}

} // namespace limpettrestle
