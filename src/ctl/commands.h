#pragma once

/// Commands of limpettrestlectl, the command-line tool for operators.

#include "http_call.h"

namespace limpettrestle::ctl {

/// Exit codes of the tool.
enum class ExitCode : int {
    Ok = 0,
    /// The request or command was processed, but not fulfilled: the answer is partial, refused or of
    /// unknown outcome, or an instance or file check failed.
    NotFulfilled = 1,
    Usage = 2,
    Unreachable = 3,
};

/// Parsed command line.
struct CommandLine {
    /// Command, subcommand and their arguments.
    std::vector<std::string> positionals;
    /// Caller address of each instance.
    std::vector<Endpoint> callers;
    /// Admin address of each instance.
    std::vector<Endpoint> admins;
    bool isJson = false;
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
    /// Zero selects the default of the instance.
    uint64_t deadlineMs = 0;
    uint64_t limit = 10;
    double minCoverage = 0;
};

ExitCode runSearch(const CommandLine& args);
ExitCode runPermit(const CommandLine& args);
ExitCode runSubmit(const CommandLine& args);
ExitCode runStatus(const CommandLine& args);
ExitCode runConfig(const CommandLine& args);
ExitCode runExplain(const CommandLine& args);
ExitCode runTimeline(const CommandLine& args);

/// Prints a usage error to stderr and returns `ExitCode::Usage`.
ExitCode usageError(const std::string& detail);

} // namespace limpettrestle::ctl
