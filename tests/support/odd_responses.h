#pragma once

/// Responses that are no valid HTTP, and unusual ones that are.

#include <string>
#include <vector>

namespace limpettrestle {

struct OddResponse {
    std::string what;
    std::string bytes;
};

/// Body of all valid ones.
inline const std::string kOddBody = "mine";

inline std::string oddHead(const std::string& statusLine, const std::string& fields = "")
{
    return statusLine + "\r\n" + fields + "Content-Length: 4\r\n\r\n";
}

inline std::string oddChunks(const std::string& chunks)
{
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks;
}

/// Responses whose status code is not valid.
inline std::vector<OddResponse> responsesWithBadStatus()
{
    std::vector<OddResponse> responses;
    for (const char* status : { "000", "001", "099", "600", "999", "0", "20", "99", "0200", "1000", "101", "2x0", "-20", "" })
        responses.push_back({ "status " + std::string(status), oddHead("HTTP/1.1 " + std::string(status) + " OK") + kOddBody });
    return responses;
}

/// Responses with a head, trailers or chunks that are not valid.
inline std::vector<OddResponse> responsesWithBadSyntax()
{
    using namespace std::string_literals;
    const std::string ok = "HTTP/1.1 200 OK";
    std::vector<OddResponse> responses;
    const std::vector<OddResponse> lines = {
        { "space in a name", "X Name: 1\r\n" },
        { "space before the colon", "X-Name : 1\r\n" },
        { "tab before the colon", "X-Name\t: 1\r\n" },
        { "space before a name", " X-Name: 1\r\n" },
        { "tab before a name", "\tX-Name: 1\r\n" },
        { "continued line", "X-Name: 1\r\n  2\r\n" },
        { "line that continues an empty value", "X-Name:\r\n X-Other: 1\r\n" },
        { "control byte in a name", "X\x01Name: 1\r\n" },
        { "NUL in a name", "X\0Name: 1\r\n"s },
        { "DEL in a name", "X\x7fName: 1\r\n" },
        { "byte from 0x80 in a name", "X\xc3Name: 1\r\n" },
        { "separator in a name", "X(Name): 1\r\n" },
        { "empty name", ": 1\r\n" },
        { "no colon", "X-Name\r\n" },
        { "control byte in a value", "X-Name: a\x01z\r\n" },
        { "CR in a value", "X-Name: a\rz\r\n" },
    };
    for (const OddResponse& line : lines) {
        // As the first line, a space before the name does not continue another line.
        responses.push_back({ line.what + ", first", oddHead(ok, line.bytes) + kOddBody });
        responses.push_back({ line.what, oddHead(ok, "X-First: 0\r\n" + line.bytes) + kOddBody });
        responses.push_back({ line.what + ", interim head", "HTTP/1.1 103 Early Hints\r\nX-First: 0\r\n" + line.bytes + "\r\n" + oddHead(ok) + kOddBody });
        responses.push_back({ line.what + ", trailers", oddChunks("4\r\nmine\r\n0\r\nX-First: 0\r\n" + line.bytes + "\r\n") });
        responses.push_back({ line.what + ", first trailer", oddChunks("4\r\nmine\r\n0\r\n" + line.bytes + "\r\n") });
    }
    responses.push_back({ "length with a space before the colon", ok + "\r\nContent-Length : 4\r\n\r\nmine and more" });
    responses.push_back({ "chunked with a space before the colon", ok + "\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nmine\r\n0\r\n\r\n" });
    for (const std::string& statusLine : { "HTTP/1.1 200 O\x01K"s, "HTTP/1.1 200 O\0K"s, "HTTP/1.1 200 O\x7fK"s, "HTTP/1.1 200 O\rK"s, "HTTP/1.1 200OK"s, "HTTP/1.1  200 OK"s,
             "HTTP/1.1\t200 OK"s, "HTTP/2.0 200 OK"s, "HTTP/9.9 200 OK"s, "HTTP/0.9 200 OK"s, "HXXX/1.1 200 OK"s, "http/1.1 200 OK"s, "ICY 200 OK"s, "200 OK"s })
        responses.push_back({ "status line " + statusLine, oddHead(statusLine) + kOddBody });
    responses.push_back({ "control byte in the reason of an interim head", "HTTP/1.1 100 Go\x01\r\n\r\n" + oddHead(ok) + kOddBody });
    responses.push_back({ "no LF behind the head", ok + "\r\nContent-Length: 4\r\n\rXmine" });
    responses.push_back({ "no line end behind a chunk", oddChunks("4\r\nmine0\r\n\r\n") });
    responses.push_back({ "other bytes for the line end behind a chunk", oddChunks("4\r\nmineXY0\r\n\r\n") });
    responses.push_back({ "other bytes behind the second chunk", oddChunks("2\r\nmi\r\n2\r\nneXY0\r\n\r\n") });
    responses.push_back({ "LF alone behind a chunk", oddChunks("4\r\nmine\n0\r\n\r\n") });
    responses.push_back({ "other byte for LF behind a chunk size", oddChunks("4\rXmine\r\n0\r\n\r\n") });
    responses.push_back({ "control byte in a chunk extension", oddChunks("4;a=\x01\r\nmine\r\n0\r\n\r\n") });
    responses.push_back({ "no LF behind the trailers", oddChunks("4\r\nmine\r\n0\r\n\rX") });
    return responses;
}

/// Responses that state their length in a way that is not valid, or twice.
inline std::vector<OddResponse> responsesWithBadLength()
{
    std::vector<OddResponse> responses;
    for (const char* framing : { "Content-Length: 4\r\nContent-Length: 4", "Content-Length: 4\r\nContent-Length: 5", "Content-Length: 4, 4", "Content-Length: +4", "Content-Length: -4",
             "Content-Length: 0x4", "Content-Length: 4 0", "Content-Length: four", "Content-Length: 18446744073709551620", "Content-Length: 4\r\nTransfer-Encoding: chunked",
             "Transfer-Encoding: chunked\r\nContent-Length: 4" })
        responses.push_back({ framing, "HTTP/1.1 200 OK\r\n" + std::string(framing) + "\r\n\r\n4\r\nmine\r\n0\r\n\r\n" });
    return responses;
}

/// Valid responses with the body `kOddBody`, which the end of the connection completes at the latest.
inline std::vector<OddResponse> soundResponses()
{
    const std::string ok = "HTTP/1.1 200 OK";
    return {
        { "no reason phrase and no space", oddHead("HTTP/1.1 200") + kOddBody },
        { "no reason phrase", oddHead("HTTP/1.1 200 ") + kOddBody },
        { "unusual bytes in the reason phrase", oddHead("HTTP/1.1 200 \t~\xc3\xa9 OK") + kOddBody },
        { "usual response", oddHead("HTTP/1.1 200 OK") + kOddBody },
        { "highest status", oddHead("HTTP/1.1 599 X") + kOddBody },
        { "all bytes of names", oddHead(ok, "!#$%&'*+-.^_`|~09azAZ: 1\r\n") + kOddBody },
        { "unusual bytes in a value", oddHead(ok, "X-Name: \t a\tb \x80\xff \t\r\n") + kOddBody },
        { "empty values", oddHead(ok, "X-Name:\r\nX-Other: \t\r\n") + kOddBody },
        { "lines that end with LF", "HTTP/1.1 200 OK\nContent-Length: 4\n\nmine" },
        { "line end before the status line", "\r\n" + oddHead(ok) + kOddBody },
        { "interim heads", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + oddHead(ok) + kOddBody },
        { "HTTP/1.0 until the end of the connection", "HTTP/1.0 200 OK\r\n\r\nmine" },
        { "later minor version", oddHead("HTTP/1.2 200 OK") + kOddBody },
        { "chunks", oddChunks("1\r\nm\r\n003\r\nine\r\n0\r\n\r\n") },
        { "chunks of many sizes", oddChunks("1\r\nm\r\n01;x\r\ni\r\n1\r\nn\r\n0001\r\ne\r\n00\r\n\r\n") },
        { "chunk extensions", oddChunks("4;name=\"a b\"\r\nmine\r\n0;last\r\n\r\n") },
        { "trailers", oddChunks("4\r\nmine\r\n0\r\nX-Name: 1\r\nX-Other:\r\n\r\n") },
        { "transfer coding in other letter case", "HTTP/1.1 200 OK\r\nTRANSFER-ENCODING: Chunked\r\n\r\n4\r\nmine\r\n0\r\n\r\n" },
    };
}

} // namespace limpettrestle
