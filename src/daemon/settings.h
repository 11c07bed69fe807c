#pragma once

/// Settings of the daemon: JSON with comments, every key checked.

#include "limpettrestle/limpettrestle.h"

#include <boost/leaf.hpp>

namespace limpettrestle {

/// "ip:port".
struct Endpoint {
    std::string host;
    int port = 0;
    std::string text() const { return host + ":" + std::to_string(port); }
};

struct DaemonSettings {
    std::string name;
    std::string zone;
    Endpoint caller;
    Endpoint peer;
    Endpoint admin;
    Endpoint platform;
    /// Peers known before the platform answers.
    std::vector<PlatformMember> seeds;
    uint32_t maxRequests = 4096;
    uint64_t maxBodyBytes = 65536;
    uint64_t callerThreads = 64;
    Millis defaultDeadline { 200 };
    Millis maxDeadline { 10000 };
    Millis balancerLag { 2000 };
    Millis drainLimit { 10000 };
    /// Seed of the decisions; drawn at start when zero.
    uint64_t seed = 0;
};

/// Why a settings file was refused.
struct SettingsError {
    ResultCode code = ResultCode::SettingsBadValue;
    std::string file;
    /// JSON pointer of the key.
    std::string key;
    std::string expected;
};

/// One line for a person.
std::string describe(const SettingsError& error);

/// Text of a settings file. The error carries a `SettingsError`.
boost::leaf::result<std::string> readSettingsFile(const std::string& file);

/// Reads and checks a settings file. The error carries a `SettingsError`.
boost::leaf::result<DaemonSettings> loadSettings(const std::string& file);
boost::leaf::result<DaemonSettings> parseSettings(const std::string& file, const std::string& text);

/// Settings code of a problem that an `ObjectCheck` found.
ResultCode settingsCodeOf(ResultCode problem);

/// Parses "ip:port"; false on malformed input.
bool parseEndpoint(std::string_view text, Endpoint& out);

} // namespace limpettrestle
