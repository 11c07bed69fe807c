#pragma once

/// Parsing and formatting of the entries that the platform publishes. Shared with the command-line tool.

#include "limpettrestle/limpettrestle.h"

#include <nlohmann/json.hpp>

namespace limpettrestle::platform_protocol {

constexpr const char* kConfigPrefix = "config/";
constexpr const char* kMembersPrefix = "members/";

/// One published key-value entry.
struct Entry {
    std::string key;
    uint64_t revision = 0;
    std::string value;
    bool deleted = false;
};

/// Reply of the platform to a read or a watch.
struct Page {
    uint64_t revision = 0;
    std::vector<Entry> entries;
};

/// Parses "{revision, entries: [{key, revision, value, deleted}]}". Returns false when malformed.
bool parsePage(const std::string& text, Page& page);
/// Parses the value of a "config/" entry. Returns false when malformed.
bool parseConfigRecord(const Entry& entry, ConfigRecord& record);
/// Formats a record as the value that an operator publishes under "config/".
std::string formatConfigRecord(const ConfigRecord& record);
/// Parses the value of a "members/" entry. Returns false when malformed.
bool parseMember(const Entry& entry, PlatformMember& member);

} // namespace limpettrestle::platform_protocol
