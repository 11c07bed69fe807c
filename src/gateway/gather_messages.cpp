#include "gather_messages.h"

#include "message_pack.h"

#include <cmath>

namespace limpettrestle {

namespace {

    /// Limit on shards in a group, several times the number of shards of the largest route.
    constexpr size_t kMaxGroupShards = 1000;

    /// Index of the fingerprint in a request; instances of earlier releases do not send it.
    constexpr size_t kFingerprintField = 11;
    /// Index of the home regions in a request, which are left out when the route has none; likewise.
    constexpr size_t kHomeRegionsField = 12;
    /// Index of the leaving replicas in a reply; instances of earlier releases do not send them.
    constexpr size_t kLeavingReplicasField = 5;
    /// Index of the rate limits in a reply, likewise.
    constexpr size_t kRateLimitsField = 6;
    /// Index of the admitted fractions in a reply, and of the rank in a request, likewise.
    constexpr size_t kAdmittedFractionsField = 8;
    constexpr size_t kRankField = 13;
    /// Admitted fractions are sent as multiples of its inverse.
    constexpr double kFractionScale = 255;

    /// Throws when the value is negative or not finite.
    double rateOf(const json& value)
    {
        const auto perSecond = value.get<double>();
        if (!std::isfinite(perSecond) || perSecond < 0)
            throwOutOfRange(value);
        return perSecond;
    }

    /// Sets an optional field; those before it that are not sent are null.
    void setField(json& root, size_t index, json value)
    {
        while (root.size() < index)
            root.push_back(nullptr);
        root.push_back(std::move(value));
    }

} // namespace

std::string encode(const GroupRequest& request)
{
    const ForwardedRequest& forwarded = request.forwarded;
    json root = json::array({ binary(forwarded.requestId), binary(forwarded.method), binary(forwarded.target), binary(forwarded.host),
        binary(forwarded.commonHead), request.route, request.shards, request.softTimeout.count(), request.timeLeft.count(),
        request.maxAttempts, request.topRecords, forwarded.fingerprint.value });
    if (!request.homeRegions.empty())
        setField(root, kHomeRegionsField, request.homeRegions);
    if (request.rank != 0)
        setField(root, kRankField, request.rank);
    return toMessagePack(root);
}

std::optional<GroupRequest> decodeGroupRequest(const std::string& bytes)
{
    // nlohmann::json throws when a field is missing or has the wrong type.
    try {
        const json root = decodeMessagePack(bytes);
        GroupRequest request;
        request.forwarded.requestId = bytesOf(root.at(0));
        request.forwarded.method = bytesOf(root.at(1));
        request.forwarded.target = bytesOf(root.at(2));
        request.forwarded.host = bytesOf(root.at(3));
        request.forwarded.commonHead = bytesOf(root.at(4));
        request.route = root.at(5).get<std::string>();
        request.shards = root.at(6).get<std::vector<std::string>>();
        request.softTimeout = microsOf(root.at(7));
        request.timeLeft = millisOf(root.at(8));
        request.maxAttempts = requireInteger<uint32_t>(root.at(9));
        request.topRecords = requireInteger<uint32_t>(root.at(10));
        if (root.size() > kFingerprintField)
            request.forwarded.fingerprint.value = requireInteger<uint64_t>(root.at(kFingerprintField));
        if (root.size() > kHomeRegionsField && !root.at(kHomeRegionsField).is_null())
            request.homeRegions = root.at(kHomeRegionsField).get<std::vector<std::string>>();
        if (root.size() > kRankField && !root.at(kRankField).is_null())
            request.rank = requireInteger<uint32_t>(root.at(kRankField));
        if (request.shards.empty() || request.shards.size() > kMaxGroupShards || request.timeLeft <= Millis::zero() || request.maxAttempts == 0)
            return std::nullopt;
        return request;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::string encode(const GroupReply& reply)
{
    json signatures = json::array();
    for (const std::string& signature : reply.signatures)
        signatures.push_back(binary(signature));
    json leaving = json::array();
    for (const ReplicaRun& run : reply.leavingReplicas)
        leaving.push_back(json::array({ run.id, run.startedAt }));
    json limits = json::array();
    for (const ReplicaRateLimit& limit : reply.rateLimits)
        limits.push_back(json::array({ limit.replica.id, limit.replica.startedAt, limit.perSecond }));
    json root = json::array({ signatures, encodeMissing(reply.missing), binary(reply.records), reply.callsSent, reply.repeats, leaving, limits });
    json fractions = json::array();
    for (const double fraction : reply.admittedFractions)
        fractions.push_back(static_cast<uint32_t>(std::lround(fraction * kFractionScale)));
    if (!fractions.empty())
        setField(root, kAdmittedFractionsField, fractions);
    return toMessagePack(root);
}

std::optional<GroupReply> decodeGroupReply(const std::string& bytes)
{
    try {
        const json root = decodeMessagePack(bytes);
        GroupReply reply;
        reply.signatures = decodeSignatures(root.at(0));
        reply.missing = decodeMissing(root.at(1));
        reply.records = bytesOf(root.at(2));
        reply.callsSent = requireInteger<uint32_t>(root.at(3));
        reply.repeats = requireInteger<uint32_t>(root.at(4));
        if (root.size() > kLeavingReplicasField) {
            for (const json& run : root.at(kLeavingReplicasField))
                reply.leavingReplicas.push_back({ run.at(0).get<std::string>(), requireInteger<int64_t>(run.at(1)) });
        }
        if (root.size() > kRateLimitsField) {
            for (const json& limit : root.at(kRateLimitsField))
                reply.rateLimits.push_back({ { limit.at(0).get<std::string>(), requireInteger<int64_t>(limit.at(1)) }, rateOf(limit.at(2)) });
        }
        if (root.size() > kAdmittedFractionsField) {
            for (const json& fraction : root.at(kAdmittedFractionsField))
                reply.admittedFractions.push_back(requireInteger<uint8_t>(fraction) / kFractionScale);
        }
        return reply;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace limpettrestle
