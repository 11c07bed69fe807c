#include "backend_protocol.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>

namespace limpettrestle::backend_protocol {

namespace {

    constexpr std::string_view kOperationNames[] = { "search", "submit", "preflight" };

    /// Calls `onField(name, value)` for each "name=value" field. Returns false when a field has no '='
    /// or `onField` returns false.
    template <typename OnField>
    bool readFields(std::string_view text, OnField onField)
    {
        while (!text.empty()) {
            const size_t end = std::min(text.find(';'), text.size());
            const std::string_view field = text.substr(0, end);
            text.remove_prefix(std::min(end + 1, text.size()));
            const size_t equals = field.find('=');
            if (equals == std::string_view::npos)
                return false;
            if (!onField(field.substr(0, equals), field.substr(equals + 1)))
                return false;
        }
        return true;
    }

    template <typename Number>
    bool readNumber(std::string_view text, Number& out)
    {
        return absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &out);
    }

    bool readHex(std::string_view text, uint64_t& out)
    {
        return text.size() == 16 && absl::SimpleHexAtoi(absl::string_view(text.data(), text.size()), &out);
    }

    bool readOperation(std::string_view text, BackendOperation& out)
    {
        for (int i = 0; i < 3; ++i) {
            if (kOperationNames[i] == text) {
                out = static_cast<BackendOperation>(i);
                return true;
            }
        }
        return false;
    }

    bool isPlainHeaderCharacter(char c)
    {
        return c > ' ' && c != ';' && c != '%' && c < 127;
    }

    /// Percent-encodes the characters that are not allowed in a field of the header.
    std::string percentEncode(std::string_view text)
    {
        std::string out;
        for (const char c : text) {
            if (isPlainHeaderCharacter(c))
                out += c;
            else
                out += absl::StrFormat("%%%02x", static_cast<unsigned char>(c));
        }
        return out;
    }

    bool percentDecode(std::string_view text, std::string& out)
    {
        out.clear();
        for (size_t i = 0; i < text.size(); ++i) {
            if (text[i] != '%') {
                out += text[i];
                continue;
            }
            uint32_t value = 0;
            if (i + 2 >= text.size() || !absl::SimpleHexAtoi(absl::string_view(text.data() + i + 1, 2), &value))
                return false;
            out += static_cast<char>(value);
            i += 2;
        }
        return true;
    }

} // namespace

std::string encodeCall(const BackendRequest& request)
{
    return absl::StrFormat("op=%s;attempt=%s;service=%016x;shard=%d;snapshot=%d;map=%d;limit=%d;budget_us=%d;key=%s",
        std::string(kOperationNames[static_cast<size_t>(request.operation)]), toString(request.attempt), request.service.value, request.shard,
        request.snapshot, request.mapVersion, request.limit, request.budget.count(), percentEncode(request.key));
}

bool decodeCall(std::string_view header, BackendRequest& request)
{
    int knownFieldCount = 0;
    const bool isValid = readFields(header, [&](std::string_view name, std::string_view value) {
        ++knownFieldCount;
        int64_t budget = 0;
        if (name == "op")
            return readOperation(value, request.operation);
        if (name == "attempt")
            return parseAttemptId(value, request.attempt);
        if (name == "service")
            return readHex(value, request.service.value);
        if (name == "shard")
            return readNumber(value, request.shard);
        if (name == "snapshot")
            return readNumber(value, request.snapshot);
        if (name == "map")
            return readNumber(value, request.mapVersion);
        if (name == "limit")
            return readNumber(value, request.limit);
        if (name == "budget_us") {
            const bool isNumber = readNumber(value, budget);
            request.budget = Micros(budget);
            return isNumber;
        }
        if (name == "key")
            return percentDecode(value, request.key);
        --knownFieldCount;
        return true;
    });
    return isValid && knownFieldCount == 9;
}

std::string encodeReply(const BackendReply& reply, std::string_view body)
{
    return absl::StrFormat("code=%d;attempt=%s;shard=%d;snapshot=%d;map=%d;incarnation=%d;draining=%d;oldest=%d;newest=%d;length=%d;checksum=%016x",
        static_cast<int>(reply.code), toString(reply.attempt), reply.shard, reply.snapshot, reply.mapVersion, reply.serverIncarnation,
        reply.draining ? 1 : 0, reply.oldestSnapshot, reply.newestSnapshot, body.size(), bodyChecksum(body));
}

ResultCode decodeReply(std::string_view header, std::string body, BackendReply& reply)
{
    int knownFieldCount = 0;
    uint64_t length = 0;
    uint64_t checksum = 0;
    const bool isValid = readFields(header, [&](std::string_view name, std::string_view value) {
        ++knownFieldCount;
        int number = 0;
        if (name == "code") {
            const bool isNumber = readNumber(value, number);
            reply.code = resultCodeInfo(static_cast<ResultCode>(number)).code;
            return isNumber;
        }
        if (name == "attempt")
            return parseAttemptId(value, reply.attempt);
        if (name == "shard")
            return readNumber(value, reply.shard);
        if (name == "snapshot")
            return readNumber(value, reply.snapshot);
        if (name == "map")
            return readNumber(value, reply.mapVersion);
        if (name == "incarnation")
            return readNumber(value, reply.serverIncarnation);
        if (name == "draining") {
            const bool isNumber = readNumber(value, number);
            reply.draining = number != 0;
            return isNumber;
        }
        if (name == "oldest")
            return readNumber(value, reply.oldestSnapshot);
        if (name == "newest")
            return readNumber(value, reply.newestSnapshot);
        if (name == "length")
            return readNumber(value, length);
        if (name == "checksum")
            return readHex(value, checksum);
        --knownFieldCount;
        return true;
    });
    if (!isValid || knownFieldCount != 11 || body.size() != length)
        return ResultCode::TruncatedMessage;
    if (bodyChecksum(body) != checksum)
        return ResultCode::ChecksumMismatch;
    reply.body = makeBody(std::move(body));
    return ResultCode::Ok;
}

std::string toString(AttemptId id)
{
    return limpettrestle::toString(id.request) + "/" + std::to_string(id.number);
}

bool parseAttemptId(std::string_view text, AttemptId& id)
{
    const size_t slash = text.find('/');
    if (slash == std::string_view::npos || !readNumber(text.substr(slash + 1), id.number))
        return false;
    const std::string_view request = text.substr(0, slash);
    // A preflight belongs to no request, so its request id is zero and would not parse as valid.
    if (request == "0000000000000000-0") {
        id.request = {};
        return true;
    }
    id.request = parseRequestId(request);
    return id.request.isValid();
}

} // namespace limpettrestle::backend_protocol
