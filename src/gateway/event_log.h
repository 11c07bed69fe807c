#pragma once

/// Structured log on standard output: bounded in memory and rate, never blocking.

#include <memory>
#include <spdlog/logger.h>
#include <spdlog/sinks/base_sink.h>
#include <string>

namespace limpettrestle {

/// Keeps formatted lines until standard output takes them; drops and counts those beyond its bounds.
class BoundedSink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
    /// `maxBytes`: lines kept at most. `linesPerSecond`: rate above which lines are dropped.
    BoundedSink(int descriptor, size_t maxBytes, double linesPerSecond);

    /// Writes what the descriptor takes without blocking.
    void writeOut();
    uint64_t dropped() const { return dropped_; }

protected:
    void sink_it_(const spdlog::details::log_msg& message) override;
    void flush_() override { writeOut(); }

private:
    bool mayAdd(std::chrono::system_clock::time_point now);

    const int descriptor_;
    const size_t maxBytes_;
    const double linesPerSecond_;
    double tokens_;
    std::chrono::system_clock::time_point refilledAt_ {};
    std::string lines_;
    uint64_t dropped_ = 0;
    uint64_t reported_ = 0;
};

/// The process's log: logfmt lines, "event=NAME key=value ...".
class EventLog {
public:
    EventLog();
    spdlog::logger& out() { return *logger_; }
    void writeOut() { sink_->writeOut(); }
    uint64_t dropped() const { return sink_->dropped(); }

private:
    std::shared_ptr<BoundedSink> sink_;
    std::unique_ptr<spdlog::logger> logger_;
};

} // namespace limpettrestle
