#include "bounded_json.h"

namespace limpettrestle {

namespace {

    using nlohmann::json;

    /// Limit on nested arrays and objects; messages between instances have three levels.
    constexpr int kMaxDepth = 16;

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

} // namespace

json decodeMessagePack(const std::string& bytes)
{
    json root;
    BoundedHandler handler(root);
    const bool isComplete = json::sax_parse(bytes, &handler, json::input_format_t::msgpack);
    return isComplete ? root : json(json::value_t::discarded);
}

} // namespace limpettrestle
