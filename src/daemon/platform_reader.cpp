#include "platform_reader.h"

#include "platform_protocol.h"

#include <glog/logging.h>
#include <httplib.h>
#include <random>

namespace limpettrestle {

namespace {

    /// Duration of one long poll.
    constexpr int kWatchMillis = 10000;
    constexpr Millis kIdlePollInterval { 20 };
    constexpr Millis kMinBackoff { 100 };
    constexpr Millis kMaxBackoff { 5000 };

    /// Reads the entries of one topic and posts them as events to the decision thread.
    class TopicReader {
    public:
        TopicReader(SharedState& shared, const Endpoint& platform, PlatformTopic topic, PlatformReadRequests& readRequests)
            : shared_(shared)
            , topic_(topic)
            , readRequests_(readRequests)
            , client_(platform.host, platform.port)
            , random_(std::random_device()())
        {
            client_.set_keep_alive(true);
            client_.set_tcp_nodelay(true);
            client_.set_connection_timeout(std::chrono::seconds(1));
            client_.set_read_timeout(std::chrono::milliseconds(kWatchMillis + 2000));
        }

        void run()
        {
            while (!shared_.isStopping) {
                readRequests_.applyQueued();
                const bool isReadRequested = readRequests_.count() != handledCount_;
                if (!isReadRequested && !readRequests_.isWatching()) {
                    std::this_thread::sleep_for(kIdlePollInterval);
                    continue;
                }
                handledCount_ = readRequests_.count();
                if (!readOnce(isReadRequested ? 0 : kWatchMillis))
                    waitBackoff();
            }
        }

    private:
        /// Waits up to `waitMillis` for newer entries. Returns false when the read failed.
        bool readOnce(int waitMillis)
        {
            const char* prefix = topic_ == PlatformTopic::Config ? platform_protocol::kConfigPrefix : platform_protocol::kMembersPrefix;
            const std::string path = "/v1/entries?prefix=" + std::string(prefix) + "&newer_than=" + std::to_string(revision_)
                + "&wait_ms=" + std::to_string(waitMillis);
            ++shared_.platformCalls;
            const httplib::Result result = client_.Get(path.c_str());
            if (!result || result->status != 200) {
                const bool isLimited = result && result->status == 429;
                shared_.post(PlatformFailed { isLimited ? ResultCode::PlatformRateLimited : ResultCode::PlatformUnreachable });
                return false;
            }
            platform_protocol::Page page;
            if (!platform_protocol::parsePage(result->body, page)) {
                LOG(WARNING) << "event=platform_page_malformed prefix=" << prefix;
                return false;
            }
            backoff_ = kMinBackoff;
            const bool isRevisionReset = page.revision < revision_;
            revision_ = page.revision;
            if (topic_ == PlatformTopic::Config)
                postConfig(page);
            else
                postMembers(page, isRevisionReset);
            return true;
        }

        void postConfig(const platform_protocol::Page& page)
        {
            PlatformConfigRead event;
            event.revision = page.revision;
            for (const platform_protocol::Entry& entry : page.entries) {
                ConfigRecord record;
                if (entry.deleted)
                    continue;
                if (platform_protocol::parseConfigRecord(entry, record))
                    event.records.push_back(std::move(record));
                else
                    LOG(WARNING) << "event=config_entry_malformed key=" << entry.key;
            }
            shared_.post(std::move(event));
        }

        void postMembers(const platform_protocol::Page& page, bool isRevisionReset)
        {
            if (isRevisionReset)
                members_.clear();
            for (const platform_protocol::Entry& entry : page.entries) {
                PlatformMember member;
                if (entry.deleted)
                    members_.erase(entry.key);
                else if (platform_protocol::parseMember(entry, member))
                    members_[entry.key] = std::move(member);
                else
                    LOG(WARNING) << "event=member_entry_malformed key=" << entry.key;
            }
            PlatformMembersRead event;
            event.revision = page.revision;
            for (const auto& [key, member] : members_)
                event.members.push_back(member);
            shared_.post(std::move(event));
        }

        /// Sleeps for the exponential backoff with jitter.
        void waitBackoff()
        {
            const auto jitter = Millis(std::uniform_int_distribution<int64_t>(0, backoff_.count())(random_));
            const auto deadline = std::chrono::steady_clock::now() + backoff_ / 2 + jitter;
            while (!shared_.isStopping && std::chrono::steady_clock::now() < deadline)
                std::this_thread::sleep_for(kIdlePollInterval);
            backoff_ = std::min(kMaxBackoff, backoff_ * 2);
        }

        SharedState& shared_;
        const PlatformTopic topic_;
        PlatformReadRequests& readRequests_;
        httplib::Client client_;
        std::mt19937_64 random_;
        uint64_t revision_ = 0;
        uint64_t handledCount_ = 0;
        Millis backoff_ = kMinBackoff;
        std::map<std::string, PlatformMember> members_;
    };

} // namespace

void PlatformReadRequests::applyQueued()
{
    absl::MutexLock lock(&mutex_);
    while (const std::unique_ptr<ReadPlatform> request = shared_.platformReads.pop()) {
        isWatching_ = request->watch;
        ++count_;
    }
}

void runPlatformReader(SharedState& shared, const Endpoint& platform, PlatformTopic topic, PlatformReadRequests& readRequests)
{
    TopicReader reader(shared, platform, topic, readRequests);
    reader.run();
}

} // namespace limpettrestle
