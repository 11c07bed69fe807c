/// Names of enum values, hashes, and text forms of identifiers.

#include "limpettrestle/limpettrestle.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>

#include <xxhash.h>

namespace limpettrestle {

namespace {

    constexpr std::string_view kPriorityNames[] = { "urgent", "normal", "deferrable" };
    constexpr std::string_view kOutcomeNames[] = { "done", "refused", "unknown" };
    constexpr std::string_view kMemberStateNames[] = { "alive", "suspect", "dead", "leaving" };
    constexpr std::string_view kPhaseNames[] = { "starting", "serving", "leaving", "stopped" };
    constexpr std::string_view kTimelineNames[] = {
        "request_admitted", "request_restarted", "request_answered", "attempt_sent", "attempt_ended", "hedge_sent",
        "retry_sent", "reply_dropped", "permit_issued", "submit_run", "member_changed", "ownership_changed",
        "config_accepted", "config_refused", "server_drained", "server_returned", "replica_down", "replica_up",
        "phase_changed", "woke_late", "platform_read"
    };

    template <typename Enum, size_t N>
    std::string_view nameIn(const std::string_view (&table)[N], Enum value)
    {
        const auto index = static_cast<size_t>(value);
        return index < N ? table[index] : "invalid";
    }

    absl::string_view toAbsl(std::string_view text) { return { text.data(), text.size() }; }

    bool parseHex(absl::string_view text, uint64_t& out)
    {
        return text.size() == 16 && absl::SimpleHexAtoi(text, &out);
    }

} // namespace

std::string_view name(PriorityClass value) { return nameIn(kPriorityNames, value); }
std::string_view name(Outcome value) { return nameIn(kOutcomeNames, value); }
std::string_view name(MemberState value) { return nameIn(kMemberStateNames, value); }
std::string_view name(Phase value) { return nameIn(kPhaseNames, value); }
std::string_view name(TimelineKind value) { return nameIn(kTimelineNames, value); }

bool isControlMessage(const PeerBody& body)
{
    return body.index() <= PeerBody(StateReply {}).index();
}

uint64_t hashName(std::string_view text)
{
    const uint64_t hash = XXH64(text.data(), text.size(), 0);
    return hash == 0 ? 1 : hash;
}

uint64_t bodyChecksum(std::string_view body)
{
    return XXH64(body.data(), body.size(), 0);
}

uint64_t configDigest(std::string_view text)
{
    return XXH64(text.data(), text.size(), 0);
}

Body makeBody(std::string text)
{
    return std::make_shared<const std::string>(std::move(text));
}

std::string toString(RequestId id)
{
    return absl::StrFormat("%016x-%d", id.issuer.value, id.sequence);
}

RequestId parseRequestId(std::string_view text)
{
    const std::vector<absl::string_view> parts = absl::StrSplit(toAbsl(text), '-');
    RequestId id;
    if (parts.size() != 2 || !parseHex(parts[0], id.issuer.value) || !absl::SimpleAtoi(parts[1], &id.sequence))
        return {};
    return id;
}

std::string toString(const Permit& permit)
{
    return absl::StrFormat("%016x.%016x.%016x.%016x", permit.issuer.value, permit.incarnation.value, permit.nonceHigh, permit.nonceLow);
}

Permit parsePermit(std::string_view text)
{
    const std::vector<absl::string_view> parts = absl::StrSplit(toAbsl(text), '.');
    Permit permit;
    if (parts.size() != 4)
        return {};
    const bool parsed = parseHex(parts[0], permit.issuer.value) && parseHex(parts[1], permit.incarnation.value)
        && parseHex(parts[2], permit.nonceHigh) && parseHex(parts[3], permit.nonceLow);
    return parsed ? permit : Permit {};
}

} // namespace limpettrestle
