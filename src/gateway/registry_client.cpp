#include "registry_client.h"

#include <algorithm>
#include <fmt/format.h>

namespace limpettrestle {

namespace {

    constexpr Millis kConnectTimeout { 500 };

} // namespace

RegistryClient::RegistryClient(uv_loop_t* loop, const ClockI& clock, const Endpoint& endpoint, const RegistryPollTiming& timing, RegistryHandlerI& handler)
    : loop_(loop)
    , clock_(clock)
    , endpoint_(endpoint)
    , handler_(handler)
    , sync_(timing)
{
}

RegistryClient::~RegistryClient() = default;

void RegistryClient::start()
{
    timer_ = new uv_timer_t;
    uv_timer_init(loop_, timer_);
    timer_->data = this;
}

void RegistryClient::setActive(bool isActive)
{
    if (isActive == isActive_ || isStopped_)
        return;
    isActive_ = isActive;
    if (isActive) {
        restart();
        return;
    }
    dropConnection();
    isCalling_ = false;
    sync_.stop();
    uv_timer_stop(timer_);
}

void RegistryClient::restart()
{
    if (isStopped_ || !isActive_)
        return;
    dropConnection();
    isCalling_ = false;
    sync_.restart(clock_.now());
    schedule();
}

void RegistryClient::stop()
{
    isStopped_ = true;
    dropConnection();
    if (timer_ != nullptr)
        uv_close(reinterpret_cast<uv_handle_t*>(timer_), [](uv_handle_t* handle) { delete reinterpret_cast<uv_timer_t*>(handle); });
    timer_ = nullptr;
}

void RegistryClient::onTimer(uv_timer_t* timer)
{
    auto& self = *static_cast<RegistryClient*>(timer->data);
    if (!self.isCalling_) {
        self.startCall();
        return;
    }
    self.dropConnection();
    self.finishCall({}, "timeout");
}

void RegistryClient::schedule()
{
    const auto wait = std::chrono::ceil<Millis>(sync_.nextCallAt() - clock_.now());
    uv_timer_start(timer_, onTimer, static_cast<uint64_t>(std::max<int64_t>(0, wait.count())), 0);
}

void RegistryClient::startCall()
{
    isCalling_ = true;
    call_ = sync_.nextCall();
    callExpiresAt_ = clock_.now() + call_.limit;
    uv_timer_start(timer_, onTimer, static_cast<uint64_t>(call_.limit.count()), 0);
    if (connection_ == nullptr)
        connection_ = HttpClientConnection::open(loop_, endpoint_.host, endpoint_.port, kConnectTimeout, *this);
    else
        sendRequest();
}

void RegistryClient::sendRequest()
{
    ++calls_;
    const std::string head = fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", platform::encodeStoreTarget(call_), endpoint_.toString());
    if (!connection_->send(head, ""))
        onClosed(*connection_, CloseReason::Closed);
}

void RegistryClient::finishCall(const HttpResponse& response, const std::string& reason, bool isTooLarge)
{
    isCalling_ = false;
    platform::StoreReply reply = platform::decodeStoreReply(call_.kind, response);
    // The pages of a full read are limited, unlike the changes of a busy time, of which only the last ones count.
    if (isTooLarge && call_.kind == RegistryCall::Kind::Changes)
        reply.result.outcome = RegistryOutcome::HistoryLost;
    const bool wasUnavailable = sync_.isUnavailable();
    const uint64_t previousEra = sync_.era();
    sync_.onCallFinished(reply.result, clock_.now());
    if (sync_.isUnavailable() != wasUnavailable)
        handler_.onRegistryAvailability(wasUnavailable, response.status == 0 ? reason : fmt::format("status_{}", response.status));
    if (sync_.era() != previousEra)
        handler_.onRegistryEra(sync_.era(), previousEra);
    if (reply.result.outcome == RegistryOutcome::Done && !sync_.isLastAnswerDiscarded())
        handler_.onRegistryItems(std::move(reply.items), sync_);
    if (!isStopped_ && isActive_)
        schedule();
}

void RegistryClient::dropConnection()
{
    if (connection_ != nullptr)
        connection_->close();
    connection_ = nullptr;
}

void RegistryClient::onConnected(HttpClientConnection& /*connection*/)
{
    if (isCalling_)
        sendRequest();
}

ResponseAction RegistryClient::onResponse(HttpClientConnection& /*connection*/, HttpResponse response, bool isReusable)
{
    // After a suspension, an answer that waited in the socket is handled before the timer.
    const bool isExpired = clock_.now() > callExpiresAt_;
    if (!isReusable || isExpired)
        dropConnection();
    if (isExpired)
        finishCall({}, "timeout");
    else
        finishCall(response, "");
    return ResponseAction::Keep;
}

void RegistryClient::onClosed(HttpClientConnection& connection, CloseReason reason)
{
    if (connection_ != &connection)
        return;
    connection.close();
    connection_ = nullptr;
    if (isCalling_)
        finishCall({}, std::string(name(reason)), reason == CloseReason::TooLarge);
}

} // namespace limpettrestle
