#pragma once

#include "../net/http_server.h"

#include <functional>

namespace limpettrestle {

/// Listener that serves pages synchronously.
class PageServer final : public HttpHandlerI {
public:
    using PageHandler = std::function<HttpResponse(const HttpRequest&)>;

    PageServer(uv_loop_t* loop, const ClockI& clock, PageHandler handler)
        : server(loop, *this, clock)
        , handler_(std::move(handler))
    {
    }

    void onRequest(ExchangeId exchange, HttpRequest request) override { server.respond(exchange, handler_(request)); }
    void onCallerDisconnected(ExchangeId /*exchange*/) override { }

    HttpServer server;

private:
    PageHandler handler_;
};

} // namespace limpettrestle
