/// Uses the decision library alone, without threads or sockets: passes a configuration and a search to one
/// node and prints the actions that the node returns.

#include "limpettrestle/limpettrestle.h"

#include <iostream>

using namespace limpettrestle;

namespace {

/// Clock that changes only through advance().
class ManualClock final : public ClockI {
public:
    TimePoint now() const override { return now_; }
    WallTime wallNow() const override { return WallTime(std::chrono::duration_cast<WallTime::duration>(now_.time_since_epoch())); }
    void advance(Millis time) { now_ += time; }

private:
    TimePoint now_ { std::chrono::hours(1) };
};

void print(const Action& action)
{
    if (const auto* call = std::get_if<CallBackend>(&action))
        std::cout << "call " << call->address << " for shard " << call->request.shard << "\n";
    else if (const auto* answer = std::get_if<AnswerCaller>(&action))
        std::cout << "answer: " << resultCodeInfo(answer->answer.code).name << "\n";
    else if (const auto* event = std::get_if<TimelineEvent>(&action))
        std::cout << "event: " << name(event->kind) << " " << event->subject << "\n";
}

} // namespace

int main()
{
    ManualClock clock;
    NodeInit init;
    init.name = "guj-1";
    init.zone = "hall-sabar";
    init.peerAddress = "127.0.0.1:8200";
    init.incarnation = { 1 };
    init.clock = &clock;
    Node node;
    if (node.init(init) != ResultCode::Ok)
        return 1;

    ConfigRecord initialConfig;
    initialConfig.revision = 1;
    initialConfig.change = "first";
    initialConfig.checkpoint = true;
    initialConfig.version = 1;
    initialConfig.text = R"({"services":{"yard-desk":{"map_version":1,"snapshot":1,"slots":2,"connections":25,
        "shards":[[{"name":"yard-desk-00-0","address":"127.0.0.1:9001","zone":"hall-sabar"}]]}}})";
    SearchRequest search;
    search.service = "yard-desk";
    search.query = "open stall";
    search.deadline = Millis(230);

    std::vector<Action> actions;
    node.handle(PlatformMembersRead {}, actions);
    node.handle(PlatformConfigRead { 1, { initialConfig } }, actions);
    clock.advance(Millis(900));
    node.handle(Tick {}, actions);
    clock.advance(Millis(900));
    node.handle(Tick {}, actions);
    node.handle(CallerSearch { { 1 }, search }, actions);
    for (const Action& action : actions)
        print(action);
    node.shutdown();
    return 0;
}
