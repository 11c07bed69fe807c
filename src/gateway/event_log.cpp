#include "event_log.h"

#include <algorithm>
#include <climits>
#include <iterator>
#include <poll.h>
#include <spdlog/pattern_formatter.h>
#include <unistd.h>

namespace limpettrestle {

namespace {

    /// Limit on buffered bytes while standard output is not read; about one second of log at the full rate.
    constexpr size_t kMaxBytes = 128 << 10;
    /// Several times the rate that an instance's share of the traffic needs.
    constexpr double kLinesPerSecond = 300;
    constexpr const char* kPattern = "ts=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v";

} // namespace

BoundedSink::BoundedSink(int descriptor, size_t maxBytes, double linesPerSecond)
    : descriptor_(descriptor)
    , maxBytes_(maxBytes)
    , linesPerSecond_(linesPerSecond)
    , tokens_(linesPerSecond)
{
}

bool BoundedSink::takeToken(std::chrono::system_clock::time_point now)
{
    const double elapsed = std::chrono::duration<double>(now - refilledAt_).count();
    refilledAt_ = now;
    // A wall clock that was set back adds no tokens.
    tokens_ = std::min(linesPerSecond_, tokens_ + std::max(0.0, elapsed) * linesPerSecond_);
    if (tokens_ < 1 || lines_.size() >= maxBytes_)
        return false;
    tokens_ -= 1;
    return true;
}

void BoundedSink::sink_it_(const spdlog::details::log_msg& message)
{
    if (!takeToken(message.time)) {
        ++dropped_;
        return;
    }
    spdlog::memory_buf_t formatted;
    formatter_->format(message, formatted);
    lines_.append(formatted.data(), formatted.size());
}

void BoundedSink::writePending()
{
    if (dropped_ != reportedDropped_) {
        lines_ += "level=warning event=log_lines_dropped count=" + std::to_string(dropped_ - reportedDropped_) + "\n";
        reportedDropped_ = dropped_;
    }
    size_t written = 0;
    while (written < lines_.size()) {
        pollfd entry { descriptor_, POLLOUT, 0 };
        if (poll(&entry, 1, 0) != 1 || (entry.revents & POLLOUT) == 0)
            break;
        // A writable pipe accepts up to PIPE_BUF bytes without blocking.
        const ssize_t count = ::write(descriptor_, lines_.data() + written, std::min<size_t>(lines_.size() - written, PIPE_BUF));
        if (count <= 0)
            break;
        written += static_cast<size_t>(count);
    }
    lines_.erase(0, written);
}

void EventLogger::write(spdlog::level::level_enum level, fmt::string_view format, fmt::format_args args)
{
    if (!output_.should_log(level))
        return;
    fmt::memory_buffer line;
    fmt::vformat_to(std::back_inserter(line), format, args);
    output_.log(level, spdlog::string_view_t(line.data(), line.size()));
}

EventLog::EventLog()
    : sink_(std::make_shared<BoundedSink>(STDOUT_FILENO, kMaxBytes, kLinesPerSecond))
    , output_(std::make_unique<spdlog::logger>("limpettrestle", sink_))
    , eventLogger_(*output_)
{
    sink_->set_formatter(std::make_unique<spdlog::pattern_formatter>(kPattern, spdlog::pattern_time_type::utc));
}

} // namespace limpettrestle
