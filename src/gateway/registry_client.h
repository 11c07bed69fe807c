#pragma once

/// Carries out the calls of `RegistrySync` against the platform's store and hands its items on.

#include "../../platform/store_codec.h"
#include "../net/http_client.h"
#include "../process/registry_sync.h"
#include "gateway_settings.h"

namespace limpettrestle {

class RegistryHandlerI {
public:
    virtual ~RegistryHandlerI() = default;
    /// Items of one answer, in order. `sync` is in the state after the answer.
    virtual void onRegistryItems(std::vector<platform::StoreItem> items, const RegistrySync& sync) = 0;
    /// The store stopped answering, or answers again.
    virtual void onRegistryAvailability(bool isAvailable, const std::string& reason) = 0;
};

class RegistryClient final : public HttpClientListenerI {
public:
    RegistryClient(uv_loop_t* loop, const ClockI& clock, const Endpoint& endpoint, const ReadingPace& pace, RegistryHandlerI& handler);
    ~RegistryClient() override;

    void start();
    /// Reads everything anew, on a new connection.
    void restart();
    void stop();
    /// Stops and starts reading; a new start reads everything.
    void setActive(bool isActive);
    bool isActive() const { return isActive_; }
    uint64_t calls() const { return calls_; }
    const RegistrySync& sync() const { return sync_; }

private:
    static void onTimer(uv_timer_t* timer);
    void schedule();
    void startCall();
    void send();
    void finish(int status, const std::string& body, const std::string& reason);
    void dropConnection();

    void onConnected(HttpClientConnection& connection) override;
    AfterResponse onResponse(HttpClientConnection& connection, HttpResponse response, bool isReusable) override;
    void onEnded(HttpClientConnection& connection, CloseReason end) override;

    uv_loop_t* loop_;
    const ClockI& clock_;
    const Endpoint endpoint_;
    RegistryHandlerI& handler_;
    RegistrySync sync_;
    uv_timer_t* timer_ = nullptr;
    HttpClientConnection* connection_ = nullptr;
    RegistryCall call_;
    bool isCalling_ = false;
    bool isStopped_ = false;
    bool isActive_ = false;
    uint64_t calls_ = 0;
};

} // namespace limpettrestle
