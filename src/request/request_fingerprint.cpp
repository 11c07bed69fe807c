#include "request_fingerprint.h"

#include <absl/strings/ascii.h>
#include <algorithm>
#include <xxhash.h>

namespace limpettrestle {

namespace {

    /// Hashes fields with their lengths, so that different divisions of the same text differ.
    class FieldHash {
    public:
        void add(std::string_view field)
        {
            const uint64_t size = field.size();
            hash_ = XXH3_64bits_withSeed(&size, sizeof(size), hash_);
            hash_ = XXH3_64bits_withSeed(field.data(), field.size(), hash_);
        }
        uint64_t value() const { return hash_; }

    private:
        uint64_t hash_ = 0;
    };

    bool isListed(std::string_view name, std::span<const std::string_view> names)
    {
        return std::any_of(names.begin(), names.end(), [name](std::string_view listed) {
            return std::equal(name.begin(), name.end(), listed.begin(), listed.end(), [](char a, char b) { return absl::ascii_tolower(a) == absl::ascii_tolower(b); });
        });
    }

} // namespace

RequestFingerprint fingerprintOf(const ForwardedRequest& request, std::span<const std::string_view> attemptHeaders)
{
    FieldHash hash;
    hash.add(request.method);
    hash.add(request.host);
    hash.add(request.target);
    hash.add(request.body);
    for (const HeaderField& header : request.headers) {
        if (isListed(header.name, attemptHeaders))
            continue;
        std::string name = header.name;
        absl::AsciiStrToLower(&name);
        hash.add(name);
        hash.add(header.value);
    }
    return { hash.value() | 1 };
}

} // namespace limpettrestle
