#pragma once

/// Commands of the operators' tool.

#include "http_call.h"

namespace limpettrestle::ctl {

/// Exit codes of the tool.
enum class ExitCode : int {
    Ok = 0,
    /// The request was answered, but not as asked: partial, refused or unknown.
    NotAsAsked = 1,
    Usage = 2,
    Unreachable = 3,
};

/// What the command line gave.
struct CommandLine {
    std::vector<std::string> words;
    /// Caller ports, one an instance.
    std::vector<Endpoint> callers;
    /// Admin ports, one an instance.
    std::vector<Endpoint> admins;
    bool json = false;
    std::string service;
    std::string query;
    std::string key;
    std::string body;
    std::string permit;
    std::string priority;
    std::string change;
    std::string file;
    std::string format;
    std::string request;
    uint64_t deadlineMs = 0;
    uint64_t limit = 10;
    double minCoverage = 0;
};

ExitCode runSearch(const CommandLine& line);
ExitCode runPermit(const CommandLine& line);
ExitCode runSubmit(const CommandLine& line);
ExitCode runStatus(const CommandLine& line);
ExitCode runConfig(const CommandLine& line);
ExitCode runExplain(const CommandLine& line);
ExitCode runTimeline(const CommandLine& line);

/// Prints an error line and returns its exit code.
ExitCode usageError(const std::string& detail);

} // namespace limpettrestle::ctl
