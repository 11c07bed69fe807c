#pragma once

/// Makes the calls that `RegistrySync` schedules to the platform's store and passes on the items it receives.

#include "../../platform/store_codec.h"
#include "../net/http_client.h"
#include "../process/registry_sync.h"
#include "gateway_settings.h"

namespace limpettrestle {

/// Receives the items and the availability of the registry.
class RegistryHandlerI {
public:
    virtual ~RegistryHandlerI() = default;
    /// Reports the items of one response, in order. `sync` is in its state after the response.
    virtual void onRegistryItems(std::vector<platform::StoreItem> items, const RegistrySync& sync) = 0;
    /// The registry was restored from an older copy. `before` is 0 for the first era that was seen.
    virtual void onRegistryEra(uint64_t era, uint64_t before) = 0;
    /// The store has become unavailable for `reason`, or available again.
    virtual void onRegistryAvailability(bool isAvailable, const std::string& reason) = 0;
};

class RegistryClient final : public HttpClientListenerI {
public:
    RegistryClient(uv_loop_t* loop, const ClockI& clock, const Endpoint& endpoint, const RegistryPollTiming& timing, RegistryHandlerI& handler);
    ~RegistryClient() override;

    /// Must be called once before any other function. Reading starts with `setActive(true)`.
    void start();
    /// Starts a full read on a new connection.
    void restart();
    void stop();
    /// Starts or stops reading. Starting begins with a full read.
    void setActive(bool isActive);
    bool isActive() const { return isActive_; }
    /// Number of calls made so far.
    uint64_t calls() const { return calls_; }
    const RegistrySync& sync() const { return sync_; }

private:
    static void onTimer(uv_timer_t* timer);
    void schedule();
    void startCall();
    void sendRequest();
    void finishCall(const HttpResponse& response, const std::string& reason, bool isTooLarge = false);
    void dropConnection();

    void onConnected(HttpClientConnection& connection) override;
    ResponseAction onResponse(HttpClientConnection& connection, HttpResponse response, bool isReusable) override;
    void onClosed(HttpClientConnection& connection, CloseReason reason) override;

    uv_loop_t* loop_;
    const ClockI& clock_;
    const Endpoint endpoint_;
    RegistryHandlerI& handler_;
    RegistrySync sync_;
    uv_timer_t* timer_ = nullptr;
    HttpClientConnection* connection_ = nullptr;
    RegistryCall call_;
    /// Time after which the answer of the current call is too old to be used.
    TimePoint callExpiresAt_ {};
    bool isCalling_ = false;
    bool isStopped_ = false;
    bool isActive_ = false;
    uint64_t calls_ = 0;
};

} // namespace limpettrestle
