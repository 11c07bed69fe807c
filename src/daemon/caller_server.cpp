#include "caller_server.h"

#include "../json_checks.h"
#include "../version/fleet_config.h"
#include "answer_json.h"

#include <absl/strings/numbers.h>
#include <absl/time/time.h>

namespace limpettrestle {

namespace {

    using nlohmann::json;

    /// Wait past a request's deadline before its caller is told that the instance failed.
    constexpr Millis kAnswerGrace { 500 };
    /// Multiple of the body limit up to which a body is skipped rather than its connection closed.
    constexpr uint64_t kSkippedBodies = 4;
    constexpr const char* kJson = "application/json";
    constexpr const char* kSingleHeaders[] = { "Content-Length", "Content-Type", "Host" };

    void reply(httplib::Response& response, ResultCode code, const json& body)
    {
        response.status = resultCodeInfo(code).httpStatus;
        response.set_content(body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n", kJson);
    }

    void replyError(httplib::Response& response, ResultCode code, const std::string& detail)
    {
        reply(response, code, errorJson(code, detail));
    }

    /// Parses the body as an object with the given keys; false after an error was replied.
    bool parseBody(const httplib::Request& request, std::initializer_list<std::string_view> keys, json& body, httplib::Response& response)
    {
        body = json::parse(request.body, nullptr, false);
        if (body.is_discarded()) {
            replyError(response, ResultCode::MalformedJson, "the body is not JSON");
            return false;
        }
        ObjectCheck check(body, "");
        check.allow(keys);
        if (check.ok())
            return true;
        replyError(response, check.code(), check.pointer() + ": expected " + check.expected());
        return false;
    }

    bool passes(const ObjectCheck& check, httplib::Response& response)
    {
        if (check.ok())
            return true;
        replyError(response, check.code(), check.pointer() + ": expected " + check.expected());
        return false;
    }

    /// Reads "deadline_ms". A negative or zero deadline is a code of its own.
    bool readDeadline(const json& body, const DaemonSettings& settings, Millis& deadline, httplib::Response& response)
    {
        deadline = settings.defaultDeadline;
        const auto it = body.find("deadline_ms");
        if (it != body.end() && it->is_number() && it->get<double>() <= 0) {
            replyError(response, ResultCode::DeadlinePassed, "/deadline_ms: expected a time that is not over");
            return false;
        }
        ObjectCheck check(body, "");
        check.millis("deadline_ms", deadline, 1, static_cast<uint64_t>(settings.maxDeadline.count()));
        return passes(check, response);
    }

} // namespace

CallerServer::CallerServer(Hub& hub, const DaemonSettings& settings, prometheus::Histogram& latency)
    : hub_(hub)
    , settings_(settings)
    , latency_(latency)
{
    const size_t threads = settings.callerThreads;
    server_.new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
    server_.set_payload_max_length(settings.maxBodyBytes);
    server_.set_keep_alive_max_count(1000000);
    server_.set_tcp_nodelay(true);
    server_.Post("/v1/search", [this](const auto& request, auto& response) { onSearch(request, response); });
    server_.Post("/v1/permit", [this](const auto& request, auto& response) { onPermit(request, response); });
    server_.Post("/v1/submit", [this](const auto& request, auto& response) { onSubmit(request, response); });
    for (const char* path : { "/v1/search", "/v1/permit", "/v1/submit" }) {
        const auto refuse = [](const auto&, auto& response) { replyError(response, ResultCode::WrongMethod, "use POST"); };
        server_.Get(path, refuse);
        server_.Put(path, refuse);
        server_.Delete(path, refuse);
    }
    server_.set_pre_routing_handler([this](const auto& request, auto& response) { return refuseLargeBody(request, response); });
    server_.set_error_handler([](const httplib::Request&, httplib::Response& response) {
        if (!response.body.empty())
            return;
        if (response.status == 413)
            replyError(response, ResultCode::BodyTooLarge, "the body exceeds limits.max_body_bytes");
        else if (response.status == 404)
            replyError(response, ResultCode::UnknownPath, "see docs/INTERFACES.md");
    });
    server_.set_exception_handler([](const httplib::Request&, httplib::Response& response, const std::exception_ptr&) {
        replyError(response, ResultCode::Internal, "the request could not be handled");
    });
}

bool CallerServer::bind()
{
    return server_.bind_to_port(settings_.caller.host.c_str(), settings_.caller.port);
}

void CallerServer::run()
{
    server_.listen_after_bind();
}

void CallerServer::stop()
{
    server_.stop();
}

void CallerServer::onSearch(const httplib::Request& request, httplib::Response& response)
{
    json body;
    if (refuseMalformed(request, response)
        || !parseBody(request, { "service", "query", "deadline_ms", "min_coverage", "limit", "class" }, body, response))
        return;
    SearchRequest search;
    std::string priority;
    uint64_t limit = search.limit;
    ObjectCheck check(body, "");
    check.require("service").text("service", search.service);
    check.require("query").text("query", search.query);
    check.number("min_coverage", search.minCoverage, 0.0, 1.0);
    check.integer("limit", limit, 0, 10000).text("class", priority);
    if (!passes(check, response) || !readDeadline(body, settings_, search.deadline, response))
        return;
    search.limit = static_cast<uint32_t>(limit);
    if (!priority.empty()) {
        const auto parsed = parsePriorityClass(priority);
        if (!parsed) {
            replyError(response, ResultCode::BadValue, "/class: expected urgent, normal or deferrable");
            return;
        }
        search.hasPriority = true;
        search.priority = *parsed;
    }
    serve(CallerSearch { {}, search }, search.deadline, response);
}

void CallerServer::onPermit(const httplib::Request& request, httplib::Response& response)
{
    json body;
    if (refuseMalformed(request, response) || !parseBody(request, { "service", "key" }, body, response))
        return;
    PermitRequest permit;
    ObjectCheck check(body, "");
    check.require("service").text("service", permit.service);
    check.require("key").text("key", permit.key);
    if (passes(check, response))
        serve(CallerPermit { {}, permit }, settings_.defaultDeadline, response);
}

void CallerServer::onSubmit(const httplib::Request& request, httplib::Response& response)
{
    json body;
    if (refuseMalformed(request, response) || !parseBody(request, { "service", "key", "body", "permit", "deadline_ms" }, body, response))
        return;
    SubmitRequest submit;
    std::string permit;
    ObjectCheck check(body, "");
    check.require("service").text("service", submit.service);
    check.require("key").text("key", submit.key);
    check.require("body").text("body", submit.body).text("permit", permit);
    if (!passes(check, response) || !readDeadline(body, settings_, submit.deadline, response))
        return;
    if (!permit.empty()) {
        submit.permit = parsePermit(permit);
        if (!submit.permit.isValid()) {
            replyError(response, ResultCode::BadValue, "/permit: expected a permit as it was issued");
            return;
        }
    }
    serve(CallerSubmit { {}, submit }, submit.deadline, response);
}

template <typename EventType>
void CallerServer::serve(EventType event, Millis deadline, httplib::Response& response)
{
    const auto started = std::chrono::steady_clock::now();
    const std::shared_ptr<PendingCaller> caller = hub_.callers.add(event.tag);
    const CallerTag tag = event.tag;
    if (!hub_.post(std::move(event))) {
        hub_.callers.remove(tag);
        json body = errorJson(ResultCode::RingFull, "");
        body["retry_after_ms"] = 50;
        reply(response, ResultCode::RingFull, body);
        return;
    }
    const Millis wait = deadline + kAnswerGrace;
    if (!caller->done.WaitForNotificationWithTimeout(absl::FromChrono(wait))) {
        hub_.callers.remove(tag);
        json body = errorJson(ResultCode::OutcomeUnknown, "the instance did not answer in time");
        body["outcome"] = "unknown";
        reply(response, ResultCode::OutcomeUnknown, body);
        return;
    }
    mergeRows(caller->answer);
    if (caller->answer.retryAfter > Millis(0)) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(caller->answer.retryAfter);
        response.set_header("Retry-After", std::to_string(seconds.count()));
    }
    reply(response, caller->answer.code, toJson(caller->answer));
    latency_.Observe(std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count());
}

httplib::Server::HandlerResponse CallerServer::refuseLargeBody(const httplib::Request& request, httplib::Response& response)
{
    // A body that is a little too large is skipped and the connection kept; a much larger one is
    // refused from its announcement, and the connection closed.
    const std::string announced = request.get_header_value("Content-Length");
    uint64_t length = 0;
    if (!absl::SimpleAtoi(announced, &length) || length <= kSkippedBodies * settings_.maxBodyBytes)
        return httplib::Server::HandlerResponse::Unhandled;
    const auto text = std::make_shared<std::string>(errorJson(ResultCode::BodyTooLarge, "the announced body exceeds limits.max_body_bytes").dump() + "\n");
    response.status = resultCodeInfo(ResultCode::BodyTooLarge).httpStatus;
    response.set_header("Connection", "close");
    // The library closes the connection when a provider fails; the text is out by then.
    response.set_content_provider(text->size(), kJson, [text](size_t offset, size_t, httplib::DataSink& sink) {
        sink.write(text->data() + offset, text->size() - offset);
        return false;
    });
    return httplib::Server::HandlerResponse::Handled;
}

bool CallerServer::refuseMalformed(const httplib::Request& request, httplib::Response& response)
{
    for (const char* header : kSingleHeaders) {
        if (request.get_header_value_count(header) > 1) {
            replyError(response, ResultCode::DuplicateHeader, header);
            return true;
        }
    }
    return false;
}

} // namespace limpettrestle
