/// Simulates backend servers: one process serves any number of them, each on its own port, and has
/// a control port for faults and counters.
///
/// Settings: {"control": "ip:port", "host": ip, "servers": [{name, port, shard, ...}], "seed": n}.
/// Control: POST /v1/fault {"servers": [names] or absent for all, "set": {...}}; GET /v1/counts.

#include "../src/daemon/backend_protocol.h"
#include "../src/daemon/settings.h"
#include "../src/json_checks.h"
#include "backend_model.h"

#include <arpa/inet.h>
#include <csignal>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <kj/async-io.h>
#include <kj/compat/http.h>
#include <kj/debug.h>

namespace limpettrestle::standins {

namespace {

    using nlohmann::json;

    constexpr uint64_t kMaxBodyBytes = 1 << 20;
    constexpr uint kOk = 200;
    /// Above the range of statuses.
    constexpr uint kBadStatus = 600;

    TimePoint now() { return std::chrono::steady_clock::now(); }

    kj::Duration toKj(Micros time) { return time.count() * kj::MICROSECONDS; }

    /// Header table of the backend protocol.
    struct ProtocolHeaders {
        kj::Own<kj::HttpHeaderTable> table;
        kj::HttpHeaderId call;
        kj::HttpHeaderId reply;

        ProtocolHeaders()
        {
            kj::HttpHeaderTable::Builder builder;
            call = builder.add(backend_protocol::kCallHeader);
            reply = builder.add(backend_protocol::kReplyHeader);
            table = builder.build();
        }
    };

    /// A call that waits for a slot or runs. Fulfilling `wake` grants the slot, or ends the run
    /// early after a cancellation.
    struct OpenCall {
        AttemptId attempt;
        kj::Own<kj::PromiseFulfiller<void>> wake;
        bool isCancelled = false;
    };

    /// HTTP service of one server.
    class BackendService final : public kj::HttpService {
    public:
        BackendService(BackendModel& model, kj::Timer& timer, const ProtocolHeaders& protocol)
            : model_(model)
            , timer_(timer)
            , protocol_(protocol)
        {
        }

        kj::Promise<void> request(kj::HttpMethod, kj::StringPtr url, const kj::HttpHeaders& headers, kj::AsyncInputStream& requestBody, Response& response) override
        {
            std::string header;
            KJ_IF_MAYBE (value, headers.get(protocol_.call))
                header = value->cStr();
            if (url == backend_protocol::kCancelPath)
                return cancel(header, response);
            auto call = kj::heap<Exchange>();
            Exchange& exchange = *call;
            if (!backend_protocol::decodeCall(header, exchange.request)) {
                exchange.replyBody = "bad call";
                return response.sendError(400, "Bad Request", *protocol_.table);
            }
            return requestBody.readAllText(kMaxBodyBytes)
                .then([this, &exchange](kj::String&& body) {
                    exchange.request.body = makeBody(std::string(body.cStr(), body.size()));
                    return run(exchange);
                })
                .then([this, &exchange, &response]() { return send(exchange, response); })
                .attach(kj::mv(call));
        }

    private:
        struct Exchange {
            BackendRequest request;
            ResultCode code = ResultCode::Ok;
            bool losesReply = false;
            std::string replyBody;
            std::shared_ptr<OpenCall> open;
        };

        kj::Promise<void> run(Exchange& exchange)
        {
            if (model_.faults.hangs)
                return kj::NEVER_DONE;
            const AdmissionResult admission = model_.admit(exchange.request, now());
            exchange.code = admission.refusal;
            exchange.losesReply = admission.losesReply;
            if (admission.refusal != ResultCode::Ok || exchange.request.operation == BackendOperation::Preflight)
                return kj::READY_NOW;
            exchange.open = std::make_shared<OpenCall>();
            exchange.open->attempt = exchange.request.attempt;
            openCalls_.push_back(exchange.open);
            return waitForSlot(exchange).then([this, &exchange, admission]() -> kj::Promise<void> {
                if (exchange.open->isCancelled)
                    return kj::READY_NOW;
                model_.takeSlot();
                auto paf = kj::newPromiseAndFulfiller<void>();
                exchange.open->wake = kj::mv(paf.fulfiller);
                auto budget = std::max(exchange.request.budget, Micros(0));
                auto duration = std::min(admission.duration, budget);
                return timer_.afterDelay(toKj(duration)).exclusiveJoin(kj::mv(paf.promise)).then([this, &exchange, admission, budget] {
                    model_.freeSlot();
                    wakeNext();
                    if (exchange.open->isCancelled)
                        return;
                    if (admission.duration > budget)
                        exchange.code = ResultCode::AttemptTimeout;
                    else
                        model_.recordRun(exchange.request);
                });
            });
        }

        kj::Promise<void> waitForSlot(Exchange& exchange)
        {
            if (model_.hasFreeSlot() && waitingCalls_.empty())
                return kj::READY_NOW;
            auto paf = kj::newPromiseAndFulfiller<void>();
            exchange.open->wake = kj::mv(paf.fulfiller);
            waitingCalls_.push_back(exchange.open);
            model_.enterQueue();
            return paf.promise.then([this] { model_.leaveQueue(); });
        }

        void wakeNext()
        {
            while (!waitingCalls_.empty()) {
                const std::shared_ptr<OpenCall> next = waitingCalls_.front();
                waitingCalls_.erase(waitingCalls_.begin());
                next->wake->fulfill();
                if (!next->isCancelled)
                    return;
            }
        }

        kj::Promise<void> cancel(const std::string& header, Response& response)
        {
            AttemptId attempt;
            if (backend_protocol::parseAttemptId(header, attempt)) {
                for (const std::shared_ptr<OpenCall>& call : openCalls_) {
                    if (call->attempt != attempt || call->isCancelled)
                        continue;
                    call->isCancelled = true;
                    ++model_.counts.cancelled;
                    call->wake->fulfill();
                }
            }
            kj::HttpHeaders headers(*protocol_.table);
            response.send(204, "No Content", headers, static_cast<uint64_t>(0));
            return kj::READY_NOW;
        }

        kj::Promise<void> send(Exchange& exchange, Response& response)
        {
            if (exchange.open) {
                std::erase(openCalls_, exchange.open);
                std::erase(waitingCalls_, exchange.open);
                if (exchange.open->isCancelled)
                    exchange.code = ResultCode::Cancelled;
            }
            if (exchange.losesReply)
                return KJ_EXCEPTION(DISCONNECTED, "reply lost by fault");
            const BackendReply reply = model_.makeReply(exchange.request, exchange.code, exchange.replyBody);
            kj::HttpHeaders headers(*protocol_.table);
            const std::string header = backend_protocol::encodeReply(reply, exchange.replyBody);
            headers.set(protocol_.reply, kj::str(header.c_str()));
            applyBodyFaults(exchange);
            const uint status = randomChance(model_.faults.badStatusShare) ? kBadStatus : kOk;
            auto stream = response.send(status, "OK", headers, exchange.replyBody.size());
            auto written = stream->write(exchange.replyBody.data(), exchange.replyBody.size());
            return written.attach(kj::mv(stream));
        }

        bool randomChance(double share) { return share > 0 && std::uniform_real_distribution<double>()(random_) < share; }

        /// Truncates or corrupts the body after its checksum has been computed.
        void applyBodyFaults(Exchange& exchange)
        {
            if (exchange.replyBody.size() > 1 && randomChance(model_.faults.truncateShare))
                exchange.replyBody.resize(exchange.replyBody.size() / 2);
            if (!exchange.replyBody.empty() && randomChance(model_.faults.corruptShare))
                exchange.replyBody[0] ^= 1;
        }

        BackendModel& model_;
        kj::Timer& timer_;
        const ProtocolHeaders& protocol_;
        std::vector<std::shared_ptr<OpenCall>> openCalls_;
        std::vector<std::shared_ptr<OpenCall>> waitingCalls_;
        std::mt19937_64 random_ { 7 };
    };

    /// One listening server. Closes connections above the configured limit.
    class BackendServer {
    public:
        BackendServer(BackendParameters parameters, uint64_t incarnation, uint64_t seed, kj::AsyncIoContext& io, const ProtocolHeaders& protocol)
            : model(std::move(parameters), incarnation, seed)
            , service_(model, io.provider->getTimer(), protocol)
            , http_(io.provider->getTimer(), *protocol.table, service_, makeSettings())
            , timer_(io.provider->getTimer())
        {
        }

        kj::Promise<void> listen(kj::AsyncIoContext& io, const std::string& host)
        {
            sockaddr_in ip {};
            ip.sin_family = AF_INET;
            inet_pton(AF_INET, host.c_str(), &ip.sin_addr);
            ip.sin_port = htons(static_cast<uint16_t>(model.parameters.port));
            receiver_ = io.provider->getNetwork().getSockaddr(&ip, sizeof(ip))->listen();
            return acceptLoop();
        }

        BackendModel model;

    private:
        static kj::HttpServerSettings makeSettings()
        {
            kj::HttpServerSettings settings;
            settings.pipelineTimeout = 3600 * kj::SECONDS;
            return settings;
        }

        kj::Promise<void> acceptLoop()
        {
            return receiver_->accept().then([this](kj::Own<kj::AsyncIoStream>&& stream) {
                BackendCounts& counts = model.counts;
                if (counts.openConnections >= model.parameters.connections) {
                    ++counts.rejectedConnections;
                    return acceptLoop();
                }
                ++counts.openConnections;
                counts.peakConnections = std::max(counts.peakConnections, counts.openConnections);
                auto served = timer_.afterDelay(toKj(model.parameters.connectTime)).then([this, stream = kj::mv(stream)]() mutable {
                    return http_.listenHttp(kj::mv(stream));
                });
                connections_.add(served.then([this] { --model.counts.openConnections; }, [this](kj::Exception&&) { --model.counts.openConnections; }));
                return acceptLoop();
            });
        }

        struct IgnoreErrors final : kj::TaskSet::ErrorHandler {
            void taskFailed(kj::Exception&&) override { }
        };

        BackendService service_;
        kj::HttpServer http_;
        kj::Timer& timer_;
        kj::Own<kj::ConnectionReceiver> receiver_;
        IgnoreErrors errors_;
        kj::TaskSet connections_ { errors_ };
    };

    /// HTTP service of the control port.
    class ControlService final : public kj::HttpService {
    public:
        ControlService(std::vector<kj::Own<BackendServer>>& servers, const ProtocolHeaders& protocol)
            : servers_(servers)
            , protocol_(protocol)
        {
        }

        kj::Promise<void> request(kj::HttpMethod method, kj::StringPtr url, const kj::HttpHeaders&, kj::AsyncInputStream& body, Response& response) override
        {
            if (method == kj::HttpMethod::GET && url == "/v1/counts")
                return send(response, 200, counts());
            if (method != kj::HttpMethod::POST || url != "/v1/fault")
                return send(response, 404, { { "error", "unknown path" } });
            return body.readAllText(kMaxBodyBytes).then([this, &response](kj::String&& text) {
                const json control = json::parse(text.cStr(), nullptr, false);
                return send(response, apply(control) ? 200 : 400, json::object());
            });
        }

    private:
        bool apply(const json& control)
        {
            if (control.is_discarded() || !control.contains("set"))
                return false;
            bool areAllValid = true;
            for (auto& server : servers_) {
                bool isSelected = !control.contains("servers");
                if (!isSelected) {
                    for (const json& name : control["servers"])
                        isSelected = isSelected || name == server->model.parameters.name;
                }
                if (isSelected)
                    areAllValid = applyControl(server->model, control["set"], now()) && areAllValid;
            }
            return areAllValid;
        }

        json counts() const
        {
            json out = json::array();
            for (const auto& server : servers_) {
                const BackendCounts& c = server->model.counts;
                json entry = { { "name", server->model.parameters.name }, { "calls", c.calls }, { "ran", c.executed }, { "shed", c.shed },
                    { "cancelled", c.cancelled }, { "preflights", c.preflights }, { "slot_overruns", c.slotOverruns },
                    { "work_after_drain", c.callsAfterDrain }, { "connections_most", c.peakConnections }, { "connections_over", c.rejectedConnections } };
                entry["runs"] = json::object();
                for (const auto& [key, runs] : server->model.runs)
                    entry["runs"][key] = runs;
                out.push_back(std::move(entry));
            }
            return out;
        }

        kj::Promise<void> send(Response& response, unsigned status, const json& value)
        {
            auto text = kj::heapString(value.dump().c_str());
            kj::HttpHeaders headers(*protocol_.table);
            auto stream = response.send(status, "OK", headers, text.size());
            auto written = stream->write(text.begin(), text.size());
            return written.attach(kj::mv(stream), kj::mv(text));
        }

        std::vector<kj::Own<BackendServer>>& servers_;
        const ProtocolHeaders& protocol_;
    };

    bool parseParameters(const json& entry, BackendParameters& parameters)
    {
        uint64_t port = 0;
        uint64_t shard = 0;
        uint64_t slots = parameters.slots;
        uint64_t connections = parameters.connections;
        uint64_t queueLimit = parameters.queueLimit;
        ObjectCheck check(entry, "/servers");
        check.allow({ "name", "port", "shard", "slots", "connections", "service_ms", "connect_ms", "map_version", "snapshot", "queue" });
        check.require("name").text("name", parameters.name);
        check.require("port").integer("port", port, 1, 65535);
        check.require("shard").integer("shard", shard, 0, 100000);
        check.integer("slots", slots, 1, 1024).integer("connections", connections, 1, 65536).integer("queue", queueLimit, 0, 100000);
        check.millis("service_ms", parameters.serviceTime, 0, 60000).millis("connect_ms", parameters.connectTime, 0, 60000);
        check.integer("map_version", parameters.mapVersion, 1, INT64_MAX).integer("snapshot", parameters.newestSnapshot, 1, INT64_MAX);
        parameters.port = static_cast<int>(port);
        parameters.shard = static_cast<uint32_t>(shard);
        parameters.slots = static_cast<uint32_t>(slots);
        parameters.connections = static_cast<uint32_t>(connections);
        parameters.queueLimit = static_cast<uint32_t>(queueLimit);
        parameters.oldestSnapshot = parameters.newestSnapshot;
        if (!check.ok())
            std::cerr << "error: " << check.pointer() << ": expected " << check.expected() << "\n";
        return check.ok();
    }

    int serve(const json& settings)
    {
        Endpoint control;
        if (!settings.contains("control") || !parseEndpoint(settings["control"].get<std::string>(), control) || !settings.contains("servers")) {
            std::cerr << "error: the settings need \"control\" (ip:port) and \"servers\"\n";
            return 2;
        }
        auto io = kj::setupAsyncIo();
        const ProtocolHeaders protocol;
        const uint64_t seed = settings.value("seed", 1ULL);
        const auto incarnation = static_cast<uint64_t>(std::chrono::system_clock::now().time_since_epoch() / Millis(1));
        std::vector<kj::Own<BackendServer>> servers;
        std::vector<kj::Promise<void>> tasks;
        for (const json& entry : settings["servers"]) {
            BackendParameters parameters;
            if (!parseParameters(entry, parameters))
                return 2;
            servers.push_back(kj::heap<BackendServer>(parameters, incarnation, seed + servers.size(), io, protocol));
            tasks.push_back(servers.back()->listen(io, control.host).eagerlyEvaluate(nullptr));
        }
        ControlService controlService(servers, protocol);
        kj::HttpServer http(io.provider->getTimer(), *protocol.table, controlService);
        sockaddr_in ip {};
        ip.sin_family = AF_INET;
        inet_pton(AF_INET, control.host.c_str(), &ip.sin_addr);
        ip.sin_port = htons(static_cast<uint16_t>(control.port));
        auto receiver = io.provider->getNetwork().getSockaddr(&ip, sizeof(ip))->listen();
        std::cout << "serving " << servers.size() << " servers" << std::endl;
        http.listenHttp(*receiver).wait(io.waitScope);
        return 0;
    }

} // namespace

} // namespace limpettrestle::standins

int main(int argc, char** argv)
{
    cxxopts::Options options("limpettrestle-backends", "Simulated backend servers");
    options.add_options()("c,config", "Settings file", cxxopts::value<std::string>())("h,help", "Print this help");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("config") == 0) {
        std::cout << options.help();
        return parsed.count("help") > 0 ? 0 : 2;
    }
    signal(SIGPIPE, SIG_IGN);
    std::ifstream in(parsed["config"].as<std::string>());
    const auto settings = nlohmann::json::parse(in, nullptr, false, true);
    if (settings.is_discarded()) {
        std::cerr << "error: the settings file cannot be read or is not valid JSON\n";
        return 2;
    }
    return limpettrestle::standins::serve(settings);
}
