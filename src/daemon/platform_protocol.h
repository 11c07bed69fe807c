#pragma once

/// Readers of the platform's published entries, shared with the command-line tool.

#include "limpettrestle/limpettrestle.h"

#include <nlohmann/json.hpp>

namespace limpettrestle::platform_protocol {

constexpr const char* kConfigPrefix = "config/";
constexpr const char* kMembersPrefix = "members/";

/// One published entry.
struct Entry {
    std::string key;
    uint64_t revision = 0;
    std::string value;
    bool deleted = false;
};

/// Answer to a read or watch.
struct Page {
    uint64_t revision = 0;
    std::vector<Entry> entries;
};

/// Reads "{revision, entries: [{key, revision, value, deleted}]}"; false when malformed.
bool parsePage(const std::string& text, Page& page);
/// Reads the value of a "config/" entry; false when malformed.
bool parseConfigRecord(const Entry& entry, ConfigRecord& record);
/// Text form of a record, as an operator publishes it.
std::string formatConfigRecord(const ConfigRecord& record);
/// Reads the value of a "members/" entry; false when malformed.
bool parseMember(const Entry& entry, PlatformMember& member);

} // namespace limpettrestle::platform_protocol
