#pragma once

/// Structured log on standard output: bounded in memory and rate, never blocks.

#include <memory>
#include <spdlog/logger.h>
#include <spdlog/sinks/base_sink.h>
#include <string>

namespace limpettrestle {

/// Buffers formatted lines until the descriptor accepts them. Drops and counts lines beyond its limits.
class BoundedSink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
    /// `maxBytes`: limit on buffered bytes. `linesPerSecond`: rate and burst of the token bucket that limits lines.
    BoundedSink(int descriptor, size_t maxBytes, double linesPerSecond);

    /// Writes as much as the descriptor accepts without blocking.
    void writePending();
    /// Number of lines dropped so far.
    uint64_t dropped() const { return dropped_; }

protected:
    void sink_it_(const spdlog::details::log_msg& message) override;
    void flush_() override { writePending(); }

private:
    /// Takes a token from the bucket. Returns false when the line must be dropped.
    bool takeToken(std::chrono::system_clock::time_point now);

    const int descriptor_;
    const size_t maxBytes_;
    const double linesPerSecond_;
    double tokens_;
    std::chrono::system_clock::time_point refilledAt_ {};
    std::string lines_;
    uint64_t dropped_ = 0;
    /// Dropped lines that the log has already reported.
    uint64_t reportedDropped_ = 0;
};

/// Formats events out of line, so that a caller compiles no formatting code. Format strings are checked at compile time.
class EventLogger {
public:
    explicit EventLogger(spdlog::logger& output)
        : output_(output)
    {
    }

    template <typename... Args>
    void info(fmt::format_string<Args...> format, Args&&... args) { write(spdlog::level::info, format, fmt::make_format_args(args...)); }
    template <typename... Args>
    void warn(fmt::format_string<Args...> format, Args&&... args) { write(spdlog::level::warn, format, fmt::make_format_args(args...)); }
    template <typename... Args>
    void error(fmt::format_string<Args...> format, Args&&... args) { write(spdlog::level::err, format, fmt::make_format_args(args...)); }

private:
    void write(spdlog::level::level_enum level, fmt::string_view format, fmt::format_args args);

    spdlog::logger& output_;
};

/// Log of the process in logfmt: "event=NAME key=value ...".
class EventLog {
public:
    EventLog();
    EventLogger& logger() { return eventLogger_; }
    /// Logger that `logger()` writes to.
    spdlog::logger& output() { return *output_; }
    void writePending() { sink_->writePending(); }
    uint64_t dropped() const { return sink_->dropped(); }

private:
    std::shared_ptr<BoundedSink> sink_;
    std::unique_ptr<spdlog::logger> output_;
    EventLogger eventLogger_;
};

} // namespace limpettrestle
