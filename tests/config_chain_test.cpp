/// Tests of the configuration chain: accepted versions increase, and every instance reaches the same
/// result.

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

const std::string kSetSlotsTo3 = R"([{"op":"replace","path":"/services/yard/slots","value":3}])";

ConfigChain makeChain()
{
    ConfigChain chain;
    chain.applyRecord(checkpoint(1, 1, kDocument));
    return chain;
}

} // namespace

TEST_CASE("a change is evaluated by its base version, its base digest and the resulting document")
{
    struct Case {
        const char* name;
        ConfigRecord record;
        ResultCode expected;
    };
    const ConfigStamp base = makeChain().stamp();
    const std::string tooLargePatch = R"([{"op":"add","path":"/note","value":")" + std::string(1 << 20, 'x') + R"("}])";
    const Case cases[] = {
        { "good patch", patch(2, base, kSetSlotsTo3), ResultCode::Ok },
        { "older base", patch(2, { 0, base.digest }, kSetSlotsTo3), ResultCode::BaseSuperseded },
        { "newer base", patch(2, { 7, base.digest }, kSetSlotsTo3), ResultCode::VersionGap },
        { "other digest", patch(2, { base.version, 99 }, kSetSlotsTo3), ResultCode::BaseDigestMismatch },
        { "not JSON", patch(2, base, "nonsense"), ResultCode::PatchDoesNotApply },
        { "not a list", patch(2, base, "{}"), ResultCode::PatchDoesNotApply },
        { "path that does not exist", patch(2, base, R"([{"op":"remove","path":"/nowhere"}])"), ResultCode::PatchDoesNotApply },
        { "failing test operation", patch(2, base, R"([{"op":"test","path":"/services/yard/slots","value":9}])"), ResultCode::PatchDoesNotApply },
        { "invalid result", patch(2, base, R"([{"op":"replace","path":"/services/yard/slots","value":"many"}])"), ResultCode::DocumentInvalid },
        { "unknown key", patch(2, base, R"([{"op":"add","path":"/services/yard/speed","value":1}])"), ResultCode::DocumentInvalid },
        { "unknown routing", patch(2, base, R"([{"op":"add","path":"/policy/routing","value":"luck"}])"), ResultCode::DocumentInvalid },
        { "no shards left", patch(2, base, R"([{"op":"replace","path":"/services/yard/shards","value":[]}])"), ResultCode::DocumentInvalid },
        { "over the value limit", patch(2, base, tooLargePatch), ResultCode::DocumentTooLarge },
        { "older checkpoint", checkpoint(2, 1, kDocument), ResultCode::BaseSuperseded },
        { "newer checkpoint", checkpoint(2, 5, kDocument), ResultCode::Ok },
        { "broken checkpoint", checkpoint(2, 5, "{"), ResultCode::DocumentInvalid },
    };
    for (const Case& entry : cases) {
        INFO(entry.name);
        ConfigChain first = makeChain();
        ConfigChain second = makeChain();
        const ConfigChain::ApplyResult result = first.applyRecord(entry.record);
        CHECK(result.entry.code == entry.expected);
        CHECK(second.applyRecord(entry.record).entry.code == result.entry.code);
        CHECK(first.stamp() == second.stamp());
        CHECK(first.stamp().version == (entry.expected == ResultCode::Ok ? result.entry.stamp.version : base.version));
    }
}

TEST_CASE("of two patches with the same base, every instance accepts only the first published one")
{
    ConfigChain first = makeChain();
    ConfigChain second = makeChain();
    const ConfigStamp base = first.stamp();
    const ConfigRecord firstPatch = patch(2, base, kSetSlotsTo3);
    const ConfigRecord secondPatch = patch(3, base, R"([{"op":"replace","path":"/services/yard/slots","value":4}])");
    for (ConfigChain* chain : { &first, &second }) {
        CHECK(chain->applyRecord(firstPatch).entry.code == ResultCode::Ok);
        CHECK(chain->applyRecord(secondPatch).entry.code == ResultCode::BaseSuperseded);
    }
    CHECK(first.stamp() == second.stamp());
}

TEST_CASE("a rollback of the platform does not revert the active version")
{
    ConfigChain chain = makeChain();
    const ConfigStamp base = chain.stamp();
    chain.applyRecord(patch(2, base, kSetSlotsTo3));
    const ConfigStamp stampBeforeRollback = chain.stamp();
    CHECK(chain.observePlatformRevision(1));
    chain.applyRecord(checkpoint(1, 1, kDocument));
    CHECK(chain.applyRecord(patch(2, base, R"([{"op":"replace","path":"/services/yard/slots","value":8}])")).entry.code == ResultCode::BaseSuperseded);
    CHECK(chain.stamp() == stampBeforeRollback);
    CHECK(chain.applyRecord(patch(3, stampBeforeRollback, R"([{"op":"replace","path":"/services/yard/slots","value":8}])")).changed);
}

TEST_CASE("a peer's document is activated only if it is newer and its digest matches")
{
    ConfigChain newerChain = makeChain();
    newerChain.applyRecord(patch(2, newerChain.stamp(), kSetSlotsTo3));
    ConfigChain chain = makeChain();
    const ConfigStamp initialStamp = chain.stamp();
    CHECK_FALSE(chain.applyDocument({ newerChain.stamp().version, 1 }, newerChain.current()->text, 2).changed);
    CHECK(chain.stamp() == initialStamp);
    CHECK(chain.applyDocument(newerChain.stamp(), newerChain.current()->text, 2).changed);
    CHECK(chain.stamp() == newerChain.stamp());
    CHECK_FALSE(chain.applyDocument(initialStamp, makeBody(kDocument), 1).changed);
    CHECK(chain.applyDocument({ 2, 77 }, makeBody(kDocument), 3).entry.code == ResultCode::VersionForked);
}

TEST_CASE("patches from peers apply in order, and a patch that does not apply requires the whole document")
{
    ConfigChain newerChain = makeChain();
    const ConfigStamp base = newerChain.stamp();
    newerChain.applyRecord(patch(2, base, kSetSlotsTo3));
    newerChain.applyRecord(patch(3, newerChain.stamp(), R"([{"op":"replace","path":"/services/yard/slots","value":4}])"));
    const std::vector<ConfigNews> patches = newerChain.patchesSince(base);
    REQUIRE(patches.size() == 2);
    ConfigChain olderChain = makeChain();
    const ConfigChain::ApplyResult outOfOrderResult = olderChain.applyPeerPatch(patches[1]);
    CHECK(outOfOrderResult.isNew);
    CHECK_FALSE(outOfOrderResult.changed);
    CHECK(olderChain.applyPeerPatch(patches[0]).changed);
    CHECK(olderChain.applyPeerPatch(patches[1]).changed);
    CHECK(olderChain.stamp() == newerChain.stamp());
    CHECK(newerChain.patchesSince({ 0, 0 }).empty());
}
