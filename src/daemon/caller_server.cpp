#include "caller_server.h"

#include "../json_checks.h"
#include "../version/fleet_config.h"
#include "answer_json.h"

#include <absl/strings/numbers.h>
#include <absl/time/time.h>

namespace limpettrestle {

namespace {

    using nlohmann::json;

    /// Time that the answer may exceed the deadline before the caller receives `OutcomeUnknown`.
    constexpr Millis kAnswerGrace { 500 };
    /// Bodies of up to this multiple of the size limit are read and discarded, which keeps the connection
    /// open. Larger bodies close the connection.
    constexpr uint64_t kMaxSkippedBodyFactor = 4;
    constexpr const char* kJsonContentType = "application/json";
    constexpr const char* kSingleValueHeaders[] = { "Content-Length", "Content-Type", "Host" };

    void reply(httplib::Response& response, ResultCode code, const json& body)
    {
        response.status = resultCodeInfo(code).httpStatus;
        response.set_content(body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n", kJsonContentType);
    }

    void replyError(httplib::Response& response, ResultCode code, const std::string& detail)
    {
        reply(response, code, errorJson(code, detail));
    }

    /// Parses the body as an object that has only the given keys. On failure, replies with an error and
    /// returns false.
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

    /// Returns true when `check` passed. Otherwise replies with an error and returns false.
    bool validateOrReply(const ObjectCheck& check, httplib::Response& response)
    {
        if (check.ok())
            return true;
        replyError(response, check.code(), check.pointer() + ": expected " + check.expected());
        return false;
    }

    /// Reads "deadline_ms". A zero or negative deadline is refused with `DeadlinePassed`, not `BadValue`.
    /// On failure, replies with an error and returns false.
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
        return validateOrReply(check, response);
    }

} // namespace

CallerServer::CallerServer(SharedState& shared, const DaemonSettings& settings, prometheus::Histogram& latency)
    : shared_(shared)
    , settings_(settings)
    , latency_(latency)
{
    const size_t threadCount = settings.callerThreads;
    server_.new_task_queue = [threadCount] { return new httplib::ThreadPool(threadCount); };
    server_.set_payload_max_length(settings.maxBodyBytes);
    server_.set_keep_alive_max_count(1000000);
    server_.set_tcp_nodelay(true);
    server_.Post("/v1/search", [this](const auto& request, auto& response) { onSearch(request, response); });
    server_.Post("/v1/permit", [this](const auto& request, auto& response) { onPermit(request, response); });
    server_.Post("/v1/submit", [this](const auto& request, auto& response) { onSubmit(request, response); });
    for (const char* path : { "/v1/search", "/v1/permit", "/v1/submit" }) {
        const auto replyWrongMethod = [](const auto&, auto& response) { replyError(response, ResultCode::WrongMethod, "use POST"); };
        server_.Get(path, replyWrongMethod);
        server_.Put(path, replyWrongMethod);
        server_.Delete(path, replyWrongMethod);
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
    if (refuseDuplicateHeaders(request, response)
        || !parseBody(request, { "service", "query", "deadline_ms", "min_coverage", "limit", "class" }, body, response))
        return;
    SearchRequest search;
    std::string priorityText;
    uint64_t limit = search.limit;
    ObjectCheck check(body, "");
    check.require("service").text("service", search.service);
    check.require("query").text("query", search.query);
    check.number("min_coverage", search.minCoverage, 0.0, 1.0);
    check.integer("limit", limit, 0, 10000).text("class", priorityText);
    if (!validateOrReply(check, response) || !readDeadline(body, settings_, search.deadline, response))
        return;
    search.limit = static_cast<uint32_t>(limit);
    if (!priorityText.empty()) {
        const auto parsed = parsePriorityClass(priorityText);
        if (!parsed) {
            replyError(response, ResultCode::BadValue, "/class: expected urgent, normal or deferrable");
            return;
        }
        search.hasPriority = true;
        search.priority = *parsed;
    }
    postAndReply(CallerSearch { {}, search }, search.deadline, response);
}

void CallerServer::onPermit(const httplib::Request& request, httplib::Response& response)
{
    json body;
    if (refuseDuplicateHeaders(request, response) || !parseBody(request, { "service", "key" }, body, response))
        return;
    PermitRequest permit;
    ObjectCheck check(body, "");
    check.require("service").text("service", permit.service);
    check.require("key").text("key", permit.key);
    if (validateOrReply(check, response))
        postAndReply(CallerPermit { {}, permit }, settings_.defaultDeadline, response);
}

void CallerServer::onSubmit(const httplib::Request& request, httplib::Response& response)
{
    json body;
    if (refuseDuplicateHeaders(request, response) || !parseBody(request, { "service", "key", "body", "permit", "deadline_ms" }, body, response))
        return;
    SubmitRequest submit;
    std::string permitText;
    ObjectCheck check(body, "");
    check.require("service").text("service", submit.service);
    check.require("key").text("key", submit.key);
    check.require("body").text("body", submit.body).text("permit", permitText);
    if (!validateOrReply(check, response) || !readDeadline(body, settings_, submit.deadline, response))
        return;
    if (!permitText.empty()) {
        submit.permit = parsePermit(permitText);
        if (!submit.permit.isValid()) {
            replyError(response, ResultCode::BadValue, "/permit: expected a permit as it was issued");
            return;
        }
    }
    postAndReply(CallerSubmit { {}, submit }, submit.deadline, response);
}

template <typename EventType>
void CallerServer::postAndReply(EventType event, Millis deadline, httplib::Response& response)
{
    const auto startTime = std::chrono::steady_clock::now();
    const std::shared_ptr<PendingCaller> caller = shared_.callers.add(event.tag);
    const CallerTag tag = event.tag;
    if (!shared_.post(std::move(event))) {
        shared_.callers.remove(tag);
        json body = errorJson(ResultCode::RingFull, "");
        body["retry_after_ms"] = 50;
        reply(response, ResultCode::RingFull, body);
        return;
    }
    const Millis timeout = deadline + kAnswerGrace;
    if (!caller->done.WaitForNotificationWithTimeout(absl::FromChrono(timeout))) {
        shared_.callers.remove(tag);
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
    latency_.Observe(std::chrono::duration<double>(std::chrono::steady_clock::now() - startTime).count());
}

httplib::Server::HandlerResponse CallerServer::refuseLargeBody(const httplib::Request& request, httplib::Response& response)
{
    // A body slightly over the limit is read and discarded, and the connection stays open. A much larger
    // body is refused by its Content-Length without being read, and the connection is closed.
    const std::string contentLengthText = request.get_header_value("Content-Length");
    uint64_t contentLength = 0;
    if (!absl::SimpleAtoi(contentLengthText, &contentLength) || contentLength <= kMaxSkippedBodyFactor * settings_.maxBodyBytes)
        return httplib::Server::HandlerResponse::Unhandled;
    const auto errorText = std::make_shared<std::string>(errorJson(ResultCode::BodyTooLarge, "the announced body exceeds limits.max_body_bytes").dump() + "\n");
    response.status = resultCodeInfo(ResultCode::BodyTooLarge).httpStatus;
    response.set_header("Connection", "close");
    // httplib closes the connection when a content provider returns false. The whole response has
    // been written by then.
    response.set_content_provider(errorText->size(), kJsonContentType, [errorText](size_t offset, size_t, httplib::DataSink& sink) {
        sink.write(errorText->data() + offset, errorText->size() - offset);
        return false;
    });
    return httplib::Server::HandlerResponse::Handled;
}

bool CallerServer::refuseDuplicateHeaders(const httplib::Request& request, httplib::Response& response)
{
    for (const char* header : kSingleValueHeaders) {
        if (request.get_header_value_count(header) > 1) {
            replyError(response, ResultCode::DuplicateHeader, header);
            return true;
        }
    }
    return false;
}

} // namespace limpettrestle
