#pragma once

/// Checked reading of JSON objects: every key is known, typed and in range.

#include "limpettrestle/limpettrestle.h"

#include <initializer_list>
#include <nlohmann/json.hpp>

namespace limpettrestle {

/// Reads the members of one JSON object and keeps the first problem it meets.
class ObjectCheck {
public:
    /// `place` is the JSON pointer of the object, for messages.
    ObjectCheck(const nlohmann::json& object, std::string place);

    /// Names all keys that may occur.
    ObjectCheck& allow(std::initializer_list<std::string_view> keys);
    ObjectCheck& require(std::string_view key);
    /// Each reader leaves `out` unchanged where the key is absent.
    ObjectCheck& text(std::string_view key, std::string& out);
    ObjectCheck& boolean(std::string_view key, bool& out);
    ObjectCheck& number(std::string_view key, double& out, double least, double most);
    ObjectCheck& integer(std::string_view key, uint64_t& out, uint64_t least, uint64_t most);
    ObjectCheck& millis(std::string_view key, Millis& out, uint64_t least, uint64_t most);

    bool ok() const { return code_ == ResultCode::Ok; }
    /// `MissingField`, `UnknownField` or `BadValue`.
    ResultCode code() const { return code_; }
    const std::string& pointer() const { return where_; }
    const std::string& expected() const { return expected_; }

private:
    const nlohmann::json* find(std::string_view key) const;
    void fail(ResultCode code, std::string_view key, std::string expected);

    const nlohmann::json& object_;
    std::string place_;
    ResultCode code_ = ResultCode::Ok;
    std::string where_;
    std::string expected_;
};

} // namespace limpettrestle
