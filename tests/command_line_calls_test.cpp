/// Responses to the calls of the command-line tool.

#include "../src/ctl/http_call.h"
#include "support/odd_responses.h"
#include "support/raw_peer.h"

#include <catch2/catch.hpp>

using namespace limpettrestle;

TEST_CASE("a response whose status is not from 100 to 599 is no response to a call of the tool")
{
    for (const OddResponse& response : responsesWithBadStatus()) {
        INFO(response.what);
        RawPeer peer(response.bytes, PeerEnd::Graceful);
        const ctl::CallResult result = ctl::get({ "127.0.0.1", peer.port() }, "/v1/status");
        CHECK(result.code == ResultCode::PeerUnreachable);
        CHECK(result.text.empty());
    }
}
