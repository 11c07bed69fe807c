#include "replica_entry.h"

#include "../stated_time.h"

#include <algorithm>
#include <arpa/inet.h>

namespace limpettrestle {

namespace {

    /// Limit on IDs, which are sent in a header of every call.
    constexpr size_t kMaxIdBytes = 200;
    constexpr int kMaxPort = 65535;

    /// An ID with spaces or control characters would change the header that carries it.
    bool isValidId(const std::string& id)
    {
        const auto isVisible = [](unsigned char c) { return c > ' ' && c != 0x7f; };
        return !id.empty() && id.size() <= kMaxIdBytes && std::all_of(id.begin(), id.end(), isVisible);
    }

    bool isIpv4Address(const std::string& host)
    {
        in_addr address {};
        return host.find('\0') == std::string::npos && inet_pton(AF_INET, host.c_str(), &address) == 1;
    }

} // namespace

std::string findEntryProblem(const ReplicaEntry& entry)
{
    if (!isValidId(entry.id))
        return "the ID is not valid";
    if (!isIpv4Address(entry.host) || entry.port <= 0 || entry.port > kMaxPort)
        return "the address is not an IPv4 address and port";
    if (entry.warmupLeft < Millis::zero() || entry.warmupLeft > kMaxStatedTime)
        return "the warm-up time is out of range";
    return "";
}

} // namespace limpettrestle
