#include "backend_io.h"

#include "backend_protocol.h"
#include "kj_ring.h"

#include <arpa/inet.h>
#include <deque>
#include <glog/logging.h>
#include <kj/compat/http.h>

namespace limpettrestle {

namespace {

    /// Time that a call may exceed the budget sent to the server before it is aborted. Also the
    /// timeout of a cancel call.
    constexpr Millis kCallGrace { 100 };
    constexpr size_t kMaxReplyBytes = 4 << 20;
    constexpr size_t kMaxIdleConnections = 8;
    constexpr int kRingRetryMicros = 500;
    /// Status of every reply; its result is in the `Shard-Reply` header.
    constexpr uint kReplyStatus = 200;

    struct Connection {
        kj::Own<kj::AsyncIoStream> stream;
        kj::Own<kj::HttpClient> client;
    };

    /// Idle keep-alive connections to one server.
    struct ConnectionPool {
        kj::Own<kj::NetworkAddress> address;
        std::deque<kj::Own<Connection>> idle;
    };

    class BackendIo final : private kj::TaskSet::ErrorHandler {
    public:
        explicit BackendIo(SharedState& shared)
            : shared_(shared)
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
                io_.unixEventPort, shared_.backendCommands, [this](std::unique_ptr<BackendCommand> command) { startCommand(*command); }, [] {});
            kj::Promise<void> reading = reader.run();
            while (!shared_.isStopping)
                io_.provider->getTimer().afterDelay(50 * kj::MILLISECONDS).wait(io_.waitScope);
        }

    private:
        void taskFailed(kj::Exception&& exception) override
        {
            LOG(ERROR) << "event=backend_task_failed detail=\"" << exception.getDescription().cStr() << "\"";
        }

        void startCommand(BackendCommand& command)
        {
            if (auto* call = std::get_if<CallBackend>(&command))
                tasks_.add(startCall(std::move(*call)));
            else if (auto* cancel = std::get_if<CancelBackend>(&command))
                tasks_.add(sendCancel(*cancel));
        }

        /// Returns the pool for `address` and creates it on first use; null if `address` is malformed.
        ConnectionPool* poolFor(const std::string& address)
        {
            const auto it = pools_.find(address);
            if (it != pools_.end())
                return &it->second;
            Endpoint endpoint;
            sockaddr_in ip {};
            ip.sin_family = AF_INET;
            if (!parseEndpoint(address, endpoint) || inet_pton(AF_INET, endpoint.host.c_str(), &ip.sin_addr) != 1)
                return nullptr;
            ip.sin_port = htons(static_cast<uint16_t>(endpoint.port));
            ConnectionPool newPool;
            newPool.address = io_.provider->getNetwork().getSockaddr(&ip, sizeof(ip));
            return &pools_.emplace(address, std::move(newPool)).first->second;
        }

        /// Takes an idle connection out of the pool, or opens a new one.
        kj::Promise<kj::Own<Connection>> acquireConnection(ConnectionPool& pool)
        {
            if (!pool.idle.empty()) {
                kj::Own<Connection> connection = kj::mv(pool.idle.front());
                pool.idle.pop_front();
                return kj::mv(connection);
            }
            return pool.address->connect().then([this](kj::Own<kj::AsyncIoStream>&& stream) {
                const int on = 1;
                stream->setsockopt(IPPROTO_TCP, 1 /* TCP_NODELAY */, &on, sizeof(on));
                auto connection = kj::heap<Connection>();
                connection->client = kj::newHttpClient(*table_, *stream);
                connection->stream = kj::mv(stream);
                return connection;
            });
        }

        /// Returns a connection to the pool; closes it if the pool is full.
        void releaseConnection(ConnectionPool& pool, kj::Own<Connection> connection)
        {
            if (pool.idle.size() < kMaxIdleConnections)
                pool.idle.push_back(kj::mv(connection));
        }

        struct ReplyHead {
            uint status = 0;
            /// Value of the `Shard-Reply` header.
            kj::String replyHeader;
        };

        /// Sends one request and returns the body of its reply. `head` receives its status and its `Shard-Reply` header.
        kj::Promise<kj::String> exchange(Connection& connection, const char* path, kj::StringPtr call, const Body& body, ReplyHead& head)
        {
            kj::HttpHeaders headers(*table_);
            headers.set(kj::HttpHeaderId::HOST, kj::str("shard"));
            headers.set(callHeader_, kj::str(call));
            const size_t size = body ? body->size() : 0;
            auto request = connection.client->request(kj::HttpMethod::POST, path, headers, static_cast<uint64_t>(size));
            kj::Promise<void> written = size == 0 ? kj::Promise<void>(kj::READY_NOW) : request.body->write(body->data(), size);
            written = written.attach(kj::mv(request.body));
            return written.then([response = kj::mv(request.response)]() mutable { return kj::mv(response); })
                .then([this, &head](kj::HttpClient::Response&& response) {
                    head.status = response.statusCode;
                    KJ_IF_MAYBE (value, response.headers->get(replyHeader_))
                        head.replyHeader = kj::str(*value);
                    auto text = response.body->readAllText(kMaxReplyBytes);
                    return text.attach(kj::mv(response.body));
                });
        }

        struct CallState {
            CallBackend call;
            /// A byte of the call may have reached the server.
            bool isSent = false;
            kj::Own<Connection> connection;
            ReplyHead head;
        };

        kj::Promise<void> startCall(CallBackend call)
        {
            const BackendCallId id = call.call;
            ConnectionPool* pool = poolFor(call.address);
            if (!pool) {
                postFailure(id, ResultCode::ConnectFailed, false);
                return kj::READY_NOW;
            }
            auto state = kj::heap<CallState>();
            CallState& callState = *state;
            callState.call = std::move(call);
            const kj::Duration timeout = (callState.call.request.budget + kCallGrace) / Micros(1) * kj::MICROSECONDS;
            auto replyBody = acquireConnection(*pool).then([this, &callState](kj::Own<Connection>&& connection) {
                callState.connection = kj::mv(connection);
                callState.isSent = true;
                const std::string header = backend_protocol::encodeCall(callState.call.request);
                return this->exchange(*callState.connection, backend_protocol::kExecutePath, header.c_str(), callState.call.request.body, callState.head);
            });
            auto replyOrTimeout = io_.provider->getTimer().timeoutAfter(timeout, kj::mv(replyBody));
            return replyOrTimeout
                .then(
                    [this, &callState, pool](kj::String&& body) {
                        if (callState.head.status == kReplyStatus)
                            releaseConnection(*pool, kj::mv(callState.connection));
                        handleReply(callState, kj::mv(body));
                    },
                    [this, &callState](kj::Exception&& exception) {
                        const bool isTimeout = exception.getType() == kj::Exception::Type::OVERLOADED;
                        ResultCode code = isTimeout ? ResultCode::AttemptTimeout : ResultCode::ConnectionLost;
                        if (!callState.isSent)
                            code = ResultCode::ConnectFailed;
                        postFailure(callState.call.call, code, callState.isSent);
                    })
                .attach(kj::mv(state));
        }

        void handleReply(CallState& state, kj::String body)
        {
            BackendReply reply;
            const std::string_view header(state.head.replyHeader.cStr(), state.head.replyHeader.size());
            ResultCode code = ResultCode::TruncatedMessage;
            if (state.head.status == kReplyStatus)
                code = backend_protocol::decodeReply(header, std::string(body.cStr(), body.size()), reply);
            if (code == ResultCode::Ok)
                post(BackendReplied { state.call.call, std::move(reply) });
            else
                postFailure(state.call.call, code, true);
        }

        kj::Promise<void> sendCancel(const CancelBackend& cancel)
        {
            ConnectionPool* pool = poolFor(cancel.address);
            if (!pool)
                return kj::READY_NOW;
            auto state = kj::heap<CallState>();
            CallState& callState = *state;
            const std::string header = backend_protocol::toString(cancel.attempt);
            auto replyBody = acquireConnection(*pool).then([this, &callState, header](kj::Own<Connection>&& connection) {
                callState.connection = kj::mv(connection);
                return exchange(*callState.connection, backend_protocol::kCancelPath, header.c_str(), nullptr, callState.head);
            });
            return io_.provider->getTimer()
                .timeoutAfter(kCallGrace / Micros(1) * kj::MICROSECONDS, kj::mv(replyBody))
                .then([this, &callState, pool](kj::String&&) { releaseConnection(*pool, kj::mv(callState.connection)); }, [](kj::Exception&&) {})
                .attach(kj::mv(state));
        }

        void postFailure(BackendCallId id, ResultCode code, bool isSent)
        {
            post(BackendFailed { id, code, isSent });
        }

        /// Blocks until the inbox has room, so that no result is lost.
        void post(const Event& event)
        {
            while (!shared_.post(event) && !shared_.isStopping)
                usleep(kRingRetryMicros);
        }

        SharedState& shared_;
        kj::AsyncIoContext io_;
        kj::HttpHeaderId callHeader_;
        kj::HttpHeaderId replyHeader_;
        kj::Own<kj::HttpHeaderTable> table_;
        std::unordered_map<std::string, ConnectionPool> pools_;
        kj::TaskSet tasks_;
    };

} // namespace

void runBackendIo(SharedState& shared)
{
    BackendIo io(shared);
    io.run();
}

} // namespace limpettrestle
