#include "response_syntax.h"

#include "field_syntax.h"

#include <algorithm>
#include <array>

namespace limpettrestle {

namespace {

    /// Start of a status line; "0" stands for any digit.
    constexpr std::string_view kStatusLineStart = "HTTP/1.0 000";
    constexpr size_t kStatusPosition = kStatusLineStart.find("000");
    constexpr int kMinStatus = 100;
    constexpr int kMaxStatus = 599;
    /// No request asks for another protocol.
    constexpr int kSwitchingProtocols = 101;
    constexpr int kMinFinalStatus = 200;

    using ByteSet = std::array<bool, 256>;

    constexpr ByteSet byteSetOf(bool (*contains)(unsigned char))
    {
        ByteSet set {};
        for (size_t byte = 0; byte < set.size(); ++byte)
            set[byte] = contains(static_cast<unsigned char>(byte));
        return set;
    }

    constexpr ByteSet kTokenBytes = byteSetOf(isTokenByte);
    constexpr ByteSet kTextBytes = byteSetOf(isTextByte);

    /// Removes the bytes at the front that belong to the set.
    void skip(std::string_view& rest, const ByteSet& set)
    {
        const auto end = std::find_if_not(rest.begin(), rest.end(), [&set](char c) { return set[static_cast<unsigned char>(c)]; });
        rest.remove_prefix(static_cast<size_t>(end - rest.begin()));
    }

    bool isDigit(char c) { return c >= '0' && c <= '9'; }

    /// Returns a negative value when the character is no hexadecimal digit.
    int hexDigitOf(char c)
    {
        if (isDigit(c))
            return c - '0';
        const int letter = c | 0x20;
        return letter >= 'a' && letter <= 'f' ? letter - 'a' + 10 : -1;
    }

    /// Removes chunks of less than 16 bytes that are complete and valid from the front. Returns false if there is none.
    /// They would take most of the time of a body that consists of them.
    bool skipSmallChunks(std::string_view& rest)
    {
        constexpr std::string_view kLineEnd = "\r\n";
        // One digit and two line ends.
        constexpr size_t kFrameBytes = 1 + 2 * kLineEnd.size();
        const size_t before = rest.size();
        while (!rest.empty()) {
            const int size = hexDigitOf(rest.front());
            if (size <= 0 || rest.size() < kFrameBytes + static_cast<size_t>(size))
                break;
            const size_t dataEnd = 1 + kLineEnd.size() + static_cast<size_t>(size);
            if (rest[1] != '\r' || rest[2] != '\n' || rest[dataEnd] != '\r' || rest[dataEnd + 1] != '\n')
                break;
            rest.remove_prefix(dataEnd + kLineEnd.size());
        }
        return rest.size() < before;
    }

} // namespace

bool ResponseSyntax::check(std::string_view bytes, bool isChunked)
{
    static constexpr std::array<Reader, static_cast<size_t>(State::Count)> kReaders = { &ResponseSyntax::readBeforeStatusLine, &ResponseSyntax::readStatusLine, &ResponseSyntax::readText,
        &ResponseSyntax::readFieldStart, &ResponseSyntax::readFieldName, &ResponseSyntax::readText, &ResponseSyntax::readChunkSize, &ResponseSyntax::readChunkExtension,
        &ResponseSyntax::readChunkData, &ResponseSyntax::readAfterChunkData, &ResponseSyntax::readLineEnd, &ResponseSyntax::readUnchecked };
    isChunked_ = isChunked;
    while (!bytes.empty()) {
        if (!(this->*kReaders[static_cast<size_t>(state_)])(bytes))
            return false;
    }
    return true;
}

/// Skips empty lines, like the parser.
bool ResponseSyntax::readBeforeStatusLine(std::string_view& rest)
{
    const bool isLineEnd = rest.front() == '\r' || rest.front() == '\n';
    if (isLineEnd)
        rest.remove_prefix(1);
    else
        state_ = State::StatusLine;
    position_ = 0;
    status_ = 0;
    return isLineEnd || readStatusLine(rest);
}

bool ResponseSyntax::readStatusLine(std::string_view& rest)
{
    const char c = rest.front();
    if (position_ == kStatusLineStart.size()) {
        if (c != ' ')
            return endLine(rest, State::FieldStart);
        state_ = State::Reason;
    } else {
        const char expected = kStatusLineStart[position_];
        if (expected == '0' ? !isDigit(c) : c != expected)
            return false;
        if (position_ >= kStatusPosition)
            status_ = status_ * 10 + (c - '0');
        ++position_;
        if (position_ == kStatusLineStart.size() && (status_ < kMinStatus || status_ > kMaxStatus || status_ == kSwitchingProtocols))
            return false;
    }
    rest.remove_prefix(1);
    return true;
}

/// Reads a reason phrase or the value of a field.
bool ResponseSyntax::readText(std::string_view& rest)
{
    skip(rest, kTextBytes);
    return rest.empty() || endLine(rest, State::FieldStart);
}

bool ResponseSyntax::readFieldStart(std::string_view& rest)
{
    if (!kTokenBytes[static_cast<unsigned char>(rest.front())])
        return endLine(rest, stateAfterFields());
    state_ = State::FieldName;
    return readFieldName(rest);
}

bool ResponseSyntax::readFieldName(std::string_view& rest)
{
    skip(rest, kTokenBytes);
    if (rest.empty())
        return true;
    if (rest.front() != ':')
        return false;
    rest.remove_prefix(1);
    state_ = State::FieldValue;
    return true;
}

bool ResponseSyntax::readChunkSize(std::string_view& rest)
{
    if (chunkBytes_ == 0 && skipSmallChunks(rest))
        return true;
    const char c = rest.front();
    const int digit = hexDigitOf(c);
    if (digit < 0 && c != ';' && c != ' ')
        return endChunkSizeLine(rest);
    if (digit < 0)
        state_ = State::ChunkExtension;
    else
        // The parser rejects sizes that exceed the range.
        chunkBytes_ = chunkBytes_ * 16 + static_cast<uint64_t>(digit);
    rest.remove_prefix(1);
    return true;
}

bool ResponseSyntax::readChunkExtension(std::string_view& rest)
{
    skip(rest, kTextBytes);
    return rest.empty() || endChunkSizeLine(rest);
}

bool ResponseSyntax::readChunkData(std::string_view& rest)
{
    const size_t count = static_cast<size_t>(std::min<uint64_t>(chunkBytes_, rest.size()));
    rest.remove_prefix(count);
    chunkBytes_ -= count;
    if (chunkBytes_ == 0)
        state_ = State::AfterChunkData;
    return true;
}

bool ResponseSyntax::readAfterChunkData(std::string_view& rest)
{
    return rest.front() == '\r' && endLine(rest, State::ChunkSize);
}

bool ResponseSyntax::readLineEnd(std::string_view& rest)
{
    if (rest.front() != '\n')
        return false;
    rest.remove_prefix(1);
    state_ = nextState_;
    return true;
}

bool ResponseSyntax::readUnchecked(std::string_view& rest)
{
    rest = {};
    return true;
}

bool ResponseSyntax::endLine(std::string_view& rest, State next)
{
    const char c = rest.front();
    if (c != '\r' && c != '\n')
        return false;
    state_ = c == '\r' ? State::LineEnd : next;
    nextState_ = next;
    rest.remove_prefix(1);
    return true;
}

bool ResponseSyntax::endChunkSizeLine(std::string_view& rest)
{
    // The parser does not end these lines at LF alone.
    if (rest.front() != '\r')
        return false;
    isInTrailers_ = chunkBytes_ == 0;
    return endLine(rest, isInTrailers_ ? State::FieldStart : State::ChunkData);
}

ResponseSyntax::State ResponseSyntax::stateAfterFields() const
{
    if (isInTrailers_)
        return State::Unchecked;
    if (status_ < kMinFinalStatus)
        return State::BeforeStatusLine;
    return isChunked_ ? State::ChunkSize : State::Unchecked;
}

} // namespace limpettrestle
