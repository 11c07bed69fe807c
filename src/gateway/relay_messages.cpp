#include "relay_messages.h"

#include "../net/field_syntax.h"
#include "message_pack.h"

#include <algorithm>

namespace limpettrestle {

namespace {

    json encodeHeaders(const std::vector<HeaderField>& headers)
    {
        json list = json::array();
        for (const HeaderField& header : headers)
            list.push_back(json::array({ binary(header.name), binary(header.value) }));
        return list;
    }

    std::vector<HeaderField> decodeHeaders(const json& list)
    {
        std::vector<HeaderField> headers;
        for (const json& header : list)
            headers.push_back({ bytesOf(header.at(0)), bytesOf(header.at(1)) });
        return headers;
    }

    bool areValid(const std::vector<HeaderField>& headers)
    {
        return std::all_of(headers.begin(), headers.end(), [](const HeaderField& header) { return isFieldName(header.name) && isFieldValue(header.value); });
    }

    bool isHttpStatus(int status) { return status >= 200 && status <= 599; }

} // namespace

std::string encode(const RelayRequest& request)
{
    const ForwardedRequest& forwarded = request.forwarded;
    return toMessagePack(json::array({ binary(forwarded.requestId), binary(forwarded.method), binary(forwarded.target), binary(forwarded.host),
        encodeHeaders(forwarded.headers), binary(forwarded.body), forwarded.callerTimeout.count(), forwarded.transitTime.count(), request.configVersion }));
}

std::optional<RelayRequest> decodeRelayRequest(const std::string& bytes)
{
    // nlohmann::json throws when a field is missing or has the wrong type.
    try {
        const json root = decodeMessagePack(bytes);
        RelayRequest request;
        ForwardedRequest& forwarded = request.forwarded;
        forwarded.requestId = bytesOf(root.at(0));
        forwarded.method = bytesOf(root.at(1));
        forwarded.target = bytesOf(root.at(2));
        forwarded.host = bytesOf(root.at(3));
        forwarded.headers = decodeHeaders(root.at(4));
        forwarded.body = bytesOf(root.at(5));
        forwarded.callerTimeout = millisOf(root.at(6));
        forwarded.transitTime = microsOf(root.at(7));
        request.configVersion = requireInteger<uint64_t>(root.at(8));
        if (forwarded.method.empty() || forwarded.target.empty() || forwarded.callerTimeout <= Millis::zero() || forwarded.transitTime < Micros::zero())
            return std::nullopt;
        return request;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::string encode(const RelayReply& reply)
{
    const RouteAnswer& answer = reply.answer;
    json signatures = json::array();
    for (const std::string& signature : answer.partSignatures)
        signatures.push_back(binary(signature));
    return toMessagePack(json::array({ static_cast<int>(answer.code), answer.status, answer.retryAfter.count(), answer.isReplicaReply, encodeHeaders(answer.headers),
        binary(answer.body), answer.isMerged, signatures, encodeMissing(answer.missing), reply.configVersion, reply.callsSent, reply.repeats }));
}

std::optional<RelayReply> decodeRelayReply(const std::string& bytes)
{
    try {
        const json root = decodeMessagePack(bytes);
        RelayReply reply;
        RouteAnswer& answer = reply.answer;
        answer.code = resultCodeOf(root.at(0));
        answer.status = requireInteger<int>(root.at(1));
        answer.retryAfter = millisOf(root.at(2));
        answer.isReplicaReply = root.at(3).get<bool>();
        answer.headers = decodeHeaders(root.at(4));
        answer.body = bytesOf(root.at(5));
        answer.isMerged = root.at(6).get<bool>();
        answer.partSignatures = decodeSignatures(root.at(7));
        answer.missing = decodeMissing(root.at(8));
        reply.configVersion = requireInteger<uint64_t>(root.at(9));
        reply.callsSent = requireInteger<uint32_t>(root.at(10));
        reply.repeats = requireInteger<uint32_t>(root.at(11));
        // An earlier build relays replies of replicas that this one does not accept.
        if (!isHttpStatus(answer.status) || !areValid(answer.headers))
            return std::nullopt;
        return reply;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace limpettrestle
