/// Contract of the configuration chain: accepted versions rise, verdicts are the same everywhere.

#include "../src/version/config_chain.h"

#include <catch2/catch.hpp>

using namespace limpettrestle;

namespace {

const std::string kDocument = R"({"policy":{},"services":{"yard":{"class":"urgent","connections":25,"map_version":1,"shards":[[{"address":"127.0.0.1:1","name":"s0","zone":"a"}]],"slots":2,"snapshot":1}}})";

ConfigRecord checkpoint(uint64_t revision, uint64_t version, const std::string& text)
{
    return { revision, "checkpoint", {}, text, true, version };
}

ConfigRecord patch(uint64_t revision, ConfigStamp base, const std::string& text)
{
    return { revision, "patch-" + std::to_string(revision), base, text, false, 0 };
}

const std::string kSlots3 = R"([{"op":"replace","path":"/services/yard/slots","value":3}])";

ConfigChain startedChain()
{
    ConfigChain chain;
    chain.applyRecord(checkpoint(1, 1, kDocument));
    return chain;
}

} // namespace

TEST_CASE("changes are judged by base, digest and result")
{
    struct Case {
        const char* name;
        ConfigRecord record;
        ResultCode expected;
    };
    const ConfigStamp base = startedChain().stamp();
    const std::string tooLarge = R"([{"op":"add","path":"/note","value":")" + std::string(1 << 20, 'x') + R"("}])";
    const Case cases[] = {
        { "good patch", patch(2, base, kSlots3), ResultCode::Ok },
        { "older base", patch(2, { 0, base.digest }, kSlots3), ResultCode::BaseSuperseded },
        { "newer base", patch(2, { 7, base.digest }, kSlots3), ResultCode::VersionGap },
        { "other digest", patch(2, { base.version, 99 }, kSlots3), ResultCode::BaseDigestMismatch },
        { "not JSON", patch(2, base, "nonsense"), ResultCode::PatchDoesNotApply },
        { "not a list", patch(2, base, "{}"), ResultCode::PatchDoesNotApply },
        { "path that does not exist", patch(2, base, R"([{"op":"remove","path":"/nowhere"}])"), ResultCode::PatchDoesNotApply },
        { "failing test operation", patch(2, base, R"([{"op":"test","path":"/services/yard/slots","value":9}])"), ResultCode::PatchDoesNotApply },
        { "invalid result", patch(2, base, R"([{"op":"replace","path":"/services/yard/slots","value":"many"}])"), ResultCode::DocumentInvalid },
        { "unknown key", patch(2, base, R"([{"op":"add","path":"/services/yard/speed","value":1}])"), ResultCode::DocumentInvalid },
        { "unknown routing", patch(2, base, R"([{"op":"add","path":"/policy/routing","value":"luck"}])"), ResultCode::DocumentInvalid },
        { "no shards left", patch(2, base, R"([{"op":"replace","path":"/services/yard/shards","value":[]}])"), ResultCode::DocumentInvalid },
        { "over the value limit", patch(2, base, tooLarge), ResultCode::DocumentTooLarge },
        { "older checkpoint", checkpoint(2, 1, kDocument), ResultCode::BaseSuperseded },
        { "newer checkpoint", checkpoint(2, 5, kDocument), ResultCode::Ok },
        { "broken checkpoint", checkpoint(2, 5, "{"), ResultCode::DocumentInvalid },
    };
    for (const Case& entry : cases) {
        INFO(entry.name);
        ConfigChain first = startedChain();
        ConfigChain second = startedChain();
        const ConfigChain::Step step = first.applyRecord(entry.record);
        CHECK(step.entry.code == entry.expected);
        CHECK(second.applyRecord(entry.record).entry.code == step.entry.code);
        CHECK(first.stamp() == second.stamp());
        CHECK(first.stamp().version == (entry.expected == ResultCode::Ok ? step.entry.stamp.version : base.version));
    }
}

TEST_CASE("of two patches on one base the first published wins on every instance")
{
    ConfigChain first = startedChain();
    ConfigChain second = startedChain();
    const ConfigStamp base = first.stamp();
    const ConfigRecord left = patch(2, base, kSlots3);
    const ConfigRecord right = patch(3, base, R"([{"op":"replace","path":"/services/yard/slots","value":4}])");
    for (ConfigChain* chain : { &first, &second }) {
        CHECK(chain->applyRecord(left).entry.code == ResultCode::Ok);
        CHECK(chain->applyRecord(right).entry.code == ResultCode::BaseSuperseded);
    }
    CHECK(first.stamp() == second.stamp());
}

TEST_CASE("a platform that went back does not take a version back")
{
    ConfigChain chain = startedChain();
    const ConfigStamp base = chain.stamp();
    chain.applyRecord(patch(2, base, kSlots3));
    const ConfigStamp newest = chain.stamp();
    CHECK(chain.notePlatformRevision(1));
    chain.applyRecord(checkpoint(1, 1, kDocument));
    CHECK(chain.applyRecord(patch(2, base, R"([{"op":"replace","path":"/services/yard/slots","value":8}])")).entry.code == ResultCode::BaseSuperseded);
    CHECK(chain.stamp() == newest);
    CHECK(chain.applyRecord(patch(3, newest, R"([{"op":"replace","path":"/services/yard/slots","value":8}])")).changed);
}

TEST_CASE("documents of peers are taken only when newer and intact")
{
    ConfigChain ahead = startedChain();
    ahead.applyRecord(patch(2, ahead.stamp(), kSlots3));
    ConfigChain chain = startedChain();
    const ConfigStamp before = chain.stamp();
    CHECK_FALSE(chain.takeDocument({ ahead.stamp().version, 1 }, ahead.current()->text, 2).changed);
    CHECK(chain.stamp() == before);
    CHECK(chain.takeDocument(ahead.stamp(), ahead.current()->text, 2).changed);
    CHECK(chain.stamp() == ahead.stamp());
    CHECK_FALSE(chain.takeDocument(before, makeBody(kDocument), 1).changed);
    CHECK(chain.takeDocument({ 2, 77 }, makeBody(kDocument), 3).entry.code == ResultCode::VersionForked);
}

TEST_CASE("peers hand on patches, and the document when a patch does not fit")
{
    ConfigChain ahead = startedChain();
    const ConfigStamp base = ahead.stamp();
    ahead.applyRecord(patch(2, base, kSlots3));
    ahead.applyRecord(patch(3, ahead.stamp(), R"([{"op":"replace","path":"/services/yard/slots","value":4}])"));
    const std::vector<ConfigNews> news = ahead.newsSince(base);
    REQUIRE(news.size() == 2);
    ConfigChain behind = startedChain();
    const ConfigChain::Step outOfOrder = behind.takeNews(news[1]);
    CHECK(outOfOrder.wasNews);
    CHECK_FALSE(outOfOrder.changed);
    CHECK(behind.takeNews(news[0]).changed);
    CHECK(behind.takeNews(news[1]).changed);
    CHECK(behind.stamp() == ahead.stamp());
    CHECK(ahead.newsSince({ 0, 0 }).empty());
}
