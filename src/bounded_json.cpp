#include "bounded_json.h"

namespace limpettrestle {

namespace {

    using nlohmann::json;

    /// Limit on nested arrays and objects, which no message or item of the project approaches.
    constexpr int kMaxDepth = 64;

    /// Builds a value like the library's own handler, and stops at the depth limit.
    class BoundedHandler final : public nlohmann::detail::json_sax_dom_parser<json> {
    public:
        explicit BoundedHandler(json& out)
            : json_sax_dom_parser(out, false)
        {
        }

        bool start_object(std::size_t length) { return ++depth_ <= kMaxDepth && json_sax_dom_parser::start_object(length); }
        bool end_object()
        {
            --depth_;
            return json_sax_dom_parser::end_object();
        }
        bool start_array(std::size_t length) { return ++depth_ <= kMaxDepth && json_sax_dom_parser::start_array(length); }
        bool end_array()
        {
            --depth_;
            return json_sax_dom_parser::end_array();
        }

    private:
        int depth_ = 0;
    };

    json decode(const std::string& bytes, json::input_format_t format)
    {
        json root;
        BoundedHandler handler(root);
        if (!json::sax_parse(bytes, &handler, format))
            return json(json::value_t::discarded);
        return root;
    }

} // namespace

json parseBoundedJson(const std::string& text)
{
    return decode(text, json::input_format_t::json);
}

json decodeMessagePack(const std::string& bytes)
{
    return decode(bytes, json::input_format_t::msgpack);
}

void throwOutOfRange(const json& value)
{
    // ID of the library for a number that is out of range.
    constexpr int kOutOfRangeId = 406;
    throw json::out_of_range::create(kOutOfRangeId, "the value is out of the range of its field", &value);
}

} // namespace limpettrestle
