#pragma once

/// Settings file of the daemon: JSON with comments. Every key is checked.

#include "limpettrestle/limpettrestle.h"

#include <boost/leaf.hpp>

namespace limpettrestle {

/// Network address.
struct Endpoint {
    std::string host;
    int port = 0;
    /// "ip:port".
    std::string toString() const { return host + ":" + std::to_string(port); }
};

struct DaemonSettings {
    std::string name;
    std::string zone;
    Endpoint caller;
    Endpoint peer;
    Endpoint admin;
    Endpoint platform;
    /// Instances to contact before the platform has answered.
    std::vector<PlatformMember> seeds;
    uint32_t maxRequests = 4096;
    uint64_t maxBodyBytes = 65536;
    uint64_t callerThreads = 64;
    Millis defaultDeadline { 200 };
    Millis maxDeadline { 10000 };
    Millis balancerLag { 2000 };
    Millis drainLimit { 10000 };
    /// Seed of the node's random numbers. Zero draws a random seed at start.
    uint64_t seed = 0;
};

/// Reason why a settings file was refused.
struct SettingsError {
    ResultCode code = ResultCode::SettingsBadValue;
    std::string file;
    /// JSON pointer of the key; empty when the error concerns the whole file.
    std::string key;
    std::string expected;
};

/// Formats the error as one line for operators.
std::string formatSettingsError(const SettingsError& error);

/// Reads the text of a settings file. The error carries a `SettingsError`.
boost::leaf::result<std::string> readSettingsFile(const std::string& file);

/// Reads, parses and checks a settings file. The error carries a `SettingsError`.
boost::leaf::result<DaemonSettings> loadSettings(const std::string& file);
/// Parses and checks the text of a settings file. `file` is used in errors only.
boost::leaf::result<DaemonSettings> parseSettings(const std::string& file, const std::string& text);

/// Maps a code of `ObjectCheck` to the corresponding settings code.
ResultCode toSettingsCode(ResultCode code);

/// Parses "ip:port". Returns false on malformed input.
bool parseEndpoint(std::string_view text, Endpoint& out);

} // namespace limpettrestle
