#include "platform_reader.h"

#include "platform_protocol.h"

#include <glog/logging.h>
#include <httplib.h>
#include <random>

namespace limpettrestle {

namespace {

    constexpr int kWatchMillis = 10000;
    constexpr Millis kIdlePoll { 20 };
    constexpr Millis kRetryMin { 100 };
    constexpr Millis kRetryMax { 5000 };

    /// Follows one prefix and turns its pages into events.
    class TopicReader {
    public:
        TopicReader(Hub& hub, const Endpoint& platform, PlatformTopic topic, PlatformOrders& orders)
            : hub_(hub)
            , topic_(topic)
            , orders_(orders)
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
            while (!hub_.stop) {
                orders_.update();
                const bool isOrdered = orders_.count() != handled_;
                if (!isOrdered && !orders_.isWatching()) {
                    std::this_thread::sleep_for(kIdlePoll);
                    continue;
                }
                handled_ = orders_.count();
                if (!readOnce(isOrdered ? 0 : kWatchMillis))
                    backOff();
            }
        }

    private:
        bool readOnce(int waitMillis)
        {
            const char* prefix = topic_ == PlatformTopic::Config ? platform_protocol::kConfigPrefix : platform_protocol::kMembersPrefix;
            const std::string path = "/v1/entries?prefix=" + std::string(prefix) + "&newer_than=" + std::to_string(revision_)
                + "&wait_ms=" + std::to_string(waitMillis);
            ++hub_.platformCalls;
            const httplib::Result result = client_.Get(path.c_str());
            if (!result || result->status != 200) {
                const bool isLimited = result && result->status == 429;
                hub_.post(PlatformFailed { isLimited ? ResultCode::PlatformRateLimited : ResultCode::PlatformUnreachable });
                return false;
            }
            platform_protocol::Page page;
            if (!platform_protocol::parsePage(result->body, page)) {
                LOG(WARNING) << "event=platform_page_malformed prefix=" << prefix;
                return false;
            }
            pause_ = kRetryMin;
            const bool wentBack = page.revision < revision_;
            revision_ = page.revision;
            if (topic_ == PlatformTopic::Config)
                postConfig(page);
            else
                postMembers(page, wentBack);
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
            hub_.post(std::move(event));
        }

        void postMembers(const platform_protocol::Page& page, bool wentBack)
        {
            if (wentBack)
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
            hub_.post(std::move(event));
        }

        void backOff()
        {
            const auto jitter = Millis(std::uniform_int_distribution<int64_t>(0, pause_.count())(random_));
            const auto until = std::chrono::steady_clock::now() + pause_ / 2 + jitter;
            while (!hub_.stop && std::chrono::steady_clock::now() < until)
                std::this_thread::sleep_for(kIdlePoll);
            pause_ = std::min(kRetryMax, pause_ * 2);
        }

        Hub& hub_;
        const PlatformTopic topic_;
        PlatformOrders& orders_;
        httplib::Client client_;
        std::mt19937_64 random_;
        uint64_t revision_ = 0;
        uint64_t handled_ = 0;
        Millis pause_ = kRetryMin;
        std::map<std::string, PlatformMember> members_;
    };

} // namespace

void PlatformOrders::update()
{
    absl::MutexLock lock(&mutex_);
    while (const std::unique_ptr<ReadPlatform> order = hub_.platformReads.pop()) {
        isWatching_ = order->watch;
        ++count_;
    }
}

void runPlatformReader(Hub& hub, const Endpoint& platform, PlatformTopic topic, PlatformOrders& orders)
{
    TopicReader reader(hub, platform, topic, orders);
    reader.run();
}

} // namespace limpettrestle
