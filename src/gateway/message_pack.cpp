#include "message_pack.h"

#include "../net/field_syntax.h"

namespace limpettrestle {

namespace {

    /// Index of the sent calls in a missing part; earlier builds do not send them.
    constexpr size_t kSentCallsField = 3;

    /// Number of sent calls of a part whose entry does not give it.
    uint32_t impliedSentCalls(const MissingPart& part)
    {
        return part.runs + (part.reason == ResultCode::ServerShed ? 1 : 0);
    }

    template <typename Time>
    Time timeOf(const json& value)
    {
        const Time time(requireInteger<int64_t>(value));
        if (time < -kMaxStatedTime || time > kMaxStatedTime)
            throwOutOfRange(value);
        return time;
    }

} // namespace

std::string toMessagePack(const json& root)
{
    std::string bytes;
    json::to_msgpack(root, bytes);
    return bytes;
}

json binary(const std::string& bytes)
{
    return json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end()));
}

std::string bytesOf(const json& value)
{
    const json::binary_t& bytes = value.get_binary();
    return { bytes.begin(), bytes.end() };
}

std::vector<std::string> decodeSignatures(const json& list)
{
    std::vector<std::string> signatures;
    for (const json& value : list) {
        signatures.push_back(bytesOf(value));
        if (!isFieldValue(signatures.back()))
            throwOutOfRange(value);
    }
    return signatures;
}

json encodeMissing(const std::vector<MissingPart>& missing)
{
    json list = json::array();
    for (const MissingPart& part : missing) {
        json& entry = list.emplace_back(json::array({ part.service, static_cast<int>(part.reason), part.runs }));
        if (part.sentCalls != impliedSentCalls(part))
            entry.push_back(part.sentCalls);
    }
    return list;
}

std::vector<MissingPart> decodeMissing(const json& list)
{
    std::vector<MissingPart> missing;
    for (const json& entry : list) {
        MissingPart& part = missing.emplace_back(MissingPart { entry.at(0).get<std::string>(), resultCodeOf(entry.at(1)), requireInteger<uint32_t>(entry.at(2)) });
        part.sentCalls = entry.size() > kSentCallsField ? requireInteger<uint32_t>(entry.at(kSentCallsField)) : impliedSentCalls(part);
    }
    return missing;
}

ResultCode resultCodeOf(const json& value)
{
    return static_cast<ResultCode>(requireInteger<std::underlying_type_t<ResultCode>>(value));
}

Millis millisOf(const json& value)
{
    return timeOf<Millis>(value);
}

Micros microsOf(const json& value)
{
    return timeOf<Micros>(value);
}

} // namespace limpettrestle
