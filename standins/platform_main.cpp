/// Simulates the platform: published entries with revisions, reads and watches (long polls), a read
/// rate limit, and faults (down, stale, rolled back).
///
/// Readers: GET /v1/entries?prefix=P&newer_than=R&wait_ms=W.
/// Control, for tests and the demo only: POST /v1/publish {key, value} or {key, delete: true};
/// POST /v1/fault {down, stale, back_to, rate_limit}; GET /v1/counts; POST /v1/most-watches, which
/// returns the most watches that were open at once since the last call.

#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <cxxopts.hpp>
#include <httplib.h>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace {

using nlohmann::json;

constexpr size_t kMaxValueBytes = 1 << 20;

struct Entry {
    uint64_t revision = 0;
    std::string value;
    bool deleted = false;
};

/// The published entries and their log, from which an older state can be served.
class Store {
public:
    /// Returns the new revision, or zero if the value exceeds `kMaxValueBytes`.
    uint64_t publish(const std::string& key, std::string value, bool deleted)
    {
        if (value.size() > kMaxValueBytes)
            return 0;
        absl::MutexLock lock(&mutex_);
        entries_[key] = { ++revision_, std::move(value), deleted };
        log_.push_back({ key, entries_[key] });
        return revision_;
    }

    /// Returns the visible entries with the prefix that are newer than a revision, ordered by
    /// revision. Waits up to `wait` while the newest revision equals `newerThan`.
    json read(const std::string& prefix, uint64_t newerThan, absl::Duration wait)
    {
        absl::MutexLock lock(&mutex_);
        const absl::Time until = absl::Now() + wait;
        while (!hasChange(prefix, newerThan) && absl::Now() < until)
            sleepUnlocked(until);
        // A reader whose revision is newer than this state receives all entries.
        const uint64_t newest = newestRevision(prefix);
        const uint64_t from = newerThan > newest ? 0 : newerThan;
        json out;
        out["revision"] = newest;
        out["entries"] = json::array();
        for (const auto& [key, entry] : entries_) {
            const bool isSelected = key.compare(0, prefix.size(), prefix) == 0 && entry.revision > from && entry.revision <= visibleRevision();
            if (isSelected)
                out["entries"].push_back({ { "key", key }, { "revision", entry.revision }, { "value", entry.value }, { "deleted", entry.deleted } });
        }
        std::sort(out["entries"].begin(), out["entries"].end(), [](const json& a, const json& b) { return a["revision"] < b["revision"]; });
        return out;
    }

    /// Hides entries published from now on, or makes all entries visible again.
    void setStale(bool stale)
    {
        absl::MutexLock lock(&mutex_);
        staleRevision_ = stale ? revision_ : 0;
    }

    /// Discards everything newer than the revision.
    void rollBack(uint64_t revision)
    {
        absl::MutexLock lock(&mutex_);
        entries_.clear();
        std::erase_if(log_, [&](const auto& item) { return item.second.revision > revision; });
        for (const auto& [key, entry] : log_)
            entries_[key] = entry;
        revision_ = revision;
    }

private:
    uint64_t visibleRevision() const { return staleRevision_ > 0 ? staleRevision_ : revision_; }

    uint64_t newestRevision(const std::string& prefix) const
    {
        uint64_t newest = 0;
        for (const auto& [key, entry] : entries_) {
            if (key.compare(0, prefix.size(), prefix) == 0 && entry.revision <= visibleRevision())
                newest = std::max(newest, entry.revision);
        }
        return newest;
    }

    bool hasChange(const std::string& prefix, uint64_t newerThan) const { return newestRevision(prefix) != newerThan; }

    void sleepUnlocked(absl::Time until) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_)
    {
        mutex_.Unlock();
        absl::SleepFor(std::min(absl::Milliseconds(5), until - absl::Now()));
        mutex_.Lock();
    }

    absl::Mutex mutex_;
    uint64_t revision_ = 0;
    uint64_t staleRevision_ = 0;
    std::map<std::string, Entry> entries_;
    std::vector<std::pair<std::string, Entry>> log_;
};

/// Counts the watches that are open.
class WatchCount {
public:
    void begin()
    {
        absl::MutexLock lock(&mutex_);
        mostOpen_ = std::max(mostOpen_, ++open_);
    }
    void end()
    {
        absl::MutexLock lock(&mutex_);
        --open_;
    }
    /// Returns the most watches that were open at once since the last call.
    uint64_t takeMostOpen()
    {
        absl::MutexLock lock(&mutex_);
        return std::exchange(mostOpen_, open_);
    }

private:
    absl::Mutex mutex_;
    uint64_t open_ = 0;
    uint64_t mostOpen_ = 0;
};

struct Faults {
    std::atomic<bool> down { false };
    std::atomic<uint64_t> rateLimit { 2000 };
};

/// Limits the number of reads in each second of the wall clock, and counts them.
class ReadLimiter {
public:
    /// Counts a read; returns false if it exceeds the limit of the current second.
    bool allow(uint64_t limit)
    {
        absl::MutexLock lock(&mutex_);
        ++totalReads_;
        const int64_t second = absl::ToUnixSeconds(absl::Now());
        if (second != currentSecond_) {
            currentSecond_ = second;
            peakReadsPerSecond_ = std::max(peakReadsPerSecond_, readsInSecond_);
            readsInSecond_ = 0;
        }
        return ++readsInSecond_ <= limit;
    }

    json counts()
    {
        absl::MutexLock lock(&mutex_);
        return { { "reads", totalReads_ }, { "most_reads_a_second", std::max(peakReadsPerSecond_, readsInSecond_) } };
    }

private:
    absl::Mutex mutex_;
    uint64_t totalReads_ = 0;
    int64_t currentSecond_ = 0;
    uint64_t readsInSecond_ = 0;
    uint64_t peakReadsPerSecond_ = 0;
};

void sendJson(httplib::Response& response, int status, const json& body)
{
    response.status = status;
    response.set_content(body.dump() + "\n", "application/json");
}

uint64_t numberParameter(const httplib::Request& request, const char* name)
{
    return request.has_param(name) ? std::strtoull(request.get_param_value(name).c_str(), nullptr, 10) : 0;
}

int serve(const std::string& host, int port)
{
    Store store;
    Faults faults;
    ReadLimiter readLimiter;
    WatchCount watches;
    httplib::Server server;
    server.new_task_queue = [] { return new httplib::ThreadPool(256); };
    server.set_payload_max_length(2 * kMaxValueBytes);
    server.set_keep_alive_max_count(1000000);
    server.set_tcp_nodelay(true);
    server.Get("/v1/entries", [&](const httplib::Request& request, httplib::Response& response) {
        if (!readLimiter.allow(faults.rateLimit)) {
            sendJson(response, 429, { { "error", "read rate limit" } });
            return;
        }
        if (faults.down) {
            sendJson(response, 503, { { "error", "down" } });
            return;
        }
        const auto wait = absl::Milliseconds(std::min<uint64_t>(30000, numberParameter(request, "wait_ms")));
        const bool isWatch = wait > absl::ZeroDuration();
        if (isWatch)
            watches.begin();
        const json entries = store.read(request.get_param_value("prefix"), numberParameter(request, "newer_than"), wait);
        if (isWatch)
            watches.end();
        sendJson(response, 200, entries);
    });
    server.Post("/v1/publish", [&](const httplib::Request& request, httplib::Response& response) {
        const json body = json::parse(request.body, nullptr, false);
        if (body.is_discarded() || !body.contains("key") || !body["key"].is_string()) {
            sendJson(response, 400, { { "error", "key and value expected" } });
            return;
        }
        const bool isDeletion = body.value("delete", false);
        const uint64_t revision = store.publish(body["key"], isDeletion ? "" : body.value("value", ""), isDeletion);
        sendJson(response, revision > 0 ? 200 : 413, { { "revision", revision } });
    });
    server.Post("/v1/fault", [&](const httplib::Request& request, httplib::Response& response) {
        const json body = json::parse(request.body, nullptr, false);
        if (body.is_discarded() || !body.is_object()) {
            sendJson(response, 400, { { "error", "object expected" } });
            return;
        }
        if (body.contains("down"))
            faults.down = body["down"].get<bool>();
        if (body.contains("stale"))
            store.setStale(body["stale"].get<bool>());
        if (body.contains("back_to"))
            store.rollBack(body["back_to"].get<uint64_t>());
        if (body.contains("rate_limit"))
            faults.rateLimit = body["rate_limit"].get<uint64_t>();
        sendJson(response, 200, json::object());
    });
    server.Get("/v1/counts", [&](const httplib::Request&, httplib::Response& response) { sendJson(response, 200, readLimiter.counts()); });
    server.Post("/v1/most-watches", [&](const httplib::Request&, httplib::Response& response) { sendJson(response, 200, { { "most_watches", watches.takeMostOpen() } }); });
    if (!server.bind_to_port(host.c_str(), port)) {
        std::cerr << "error: cannot bind " << host << ":" << port << "\n";
        return 1;
    }
    std::cout << "platform on " << host << ":" << port << std::endl;
    server.listen_after_bind();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("limpettrestle-platform", "Simulated platform service");
    options.add_options()("host", "Address to listen on", cxxopts::value<std::string>()->default_value("127.0.0.1"))(
        "port", "Port to listen on", cxxopts::value<int>()->default_value("8000"))("h,help", "Print this help");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    return serve(parsed["host"].as<std::string>(), parsed["port"].as<int>());
}
