/// Syntax of responses, wherever the bytes that arrive are split.

#include "../src/net/response_syntax.h"
#include "support/odd_responses.h"

#include <catch2/catch.hpp>

using namespace limpettrestle;

namespace {

/// Checks the bytes in two pieces, as far as the parser reads them.
bool isValid(const std::string& bytes, size_t split)
{
    const bool isChunked = bytes.find("hunked\r\n") != std::string::npos;
    ResponseSyntax syntax;
    return syntax.check(std::string_view(bytes).substr(0, split), isChunked) && syntax.check(std::string_view(bytes).substr(split), isChunked);
}

void checkAtEverySplit(const std::vector<OddResponse>& responses, bool isExpectedValid)
{
    for (const OddResponse& response : responses) {
        INFO(response.what);
        for (size_t split = 0; split <= response.bytes.size(); ++split)
            REQUIRE(isValid(response.bytes, split) == isExpectedValid);
    }
}

} // namespace

TEST_CASE("valid responses pass the check at every split")
{
    checkAtEverySplit(soundResponses(), true);
}

TEST_CASE("a status that is none fails the check at every split")
{
    checkAtEverySplit(responsesWithBadStatus(), false);
}

TEST_CASE("heads, trailers and chunks that are not valid fail the check at every split")
{
    checkAtEverySplit(responsesWithBadSyntax(), false);
}

TEST_CASE("the next response is checked from its beginning")
{
    ResponseSyntax syntax;
    REQUIRE(syntax.check("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine", false));
    syntax.reset();
    CHECK(syntax.check("HTTP/1.1 200 OK\r\n", false));
    syntax.reset();
    CHECK_FALSE(syntax.check("mine", false));
}
