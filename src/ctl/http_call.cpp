#include "http_call.h"

#include <httplib.h>

namespace limpettrestle::ctl {

namespace {

    constexpr std::chrono::seconds kConnectTimeout { 1 };
    constexpr std::chrono::seconds kReadTimeout { 15 };

    httplib::Client makeClient(const Endpoint& endpoint)
    {
        httplib::Client client(endpoint.host, endpoint.port);
        client.set_connection_timeout(kConnectTimeout);
        client.set_read_timeout(kReadTimeout);
        return client;
    }

    bool isFinalStatus(int status) { return status >= 200 && status <= 599; }

    CallResult toCallResult(const httplib::Result& result)
    {
        CallResult out;
        if (!result || !isFinalStatus(result->status)) {
            out.code = ResultCode::PeerUnreachable;
            return out;
        }
        out.status = result->status;
        out.text = result->body;
        out.body = nlohmann::json::parse(result->body, nullptr, false);
        return out;
    }

} // namespace

CallResult get(const Endpoint& endpoint, const std::string& path)
{
    return toCallResult(makeClient(endpoint).Get(path.c_str()));
}

CallResult post(const Endpoint& endpoint, const std::string& path, const nlohmann::json& body)
{
    return toCallResult(makeClient(endpoint).Post(path.c_str(), body.dump(), "application/json"));
}

} // namespace limpettrestle::ctl
