#pragma once

/// Validated reading of JSON objects: keys must be known, and values must have the right type and
/// range.

#include "limpettrestle/limpettrestle.h"

#include <initializer_list>
#include <nlohmann/json.hpp>

namespace limpettrestle {

/// Reads the members of one JSON object and records the first problem.
class ObjectCheck {
public:
    /// `objectPointer` is the JSON pointer to the object, for error messages.
    ObjectCheck(const nlohmann::json& object, std::string objectPointer);

    /// Reports the first key that is not in `keys`.
    ObjectCheck& allow(std::initializer_list<std::string_view> keys);
    /// Reports the key if it is absent.
    ObjectCheck& require(std::string_view key);
    /// The following functions read a value and leave `out` unchanged if the key is absent. Ranges
    /// are inclusive.
    ObjectCheck& text(std::string_view key, std::string& out);
    ObjectCheck& boolean(std::string_view key, bool& out);
    ObjectCheck& number(std::string_view key, double& out, double min, double max);
    ObjectCheck& integer(std::string_view key, uint64_t& out, uint64_t min, uint64_t max);
    ObjectCheck& millis(std::string_view key, Millis& out, uint64_t min, uint64_t max);

    bool ok() const { return code_ == ResultCode::Ok; }
    /// `MissingField`, `UnknownField` or `BadValue`.
    ResultCode code() const { return code_; }
    /// JSON pointer to the invalid value.
    const std::string& pointer() const { return problemPointer_; }
    /// Description of the valid values.
    const std::string& expected() const { return expected_; }

private:
    const nlohmann::json* find(std::string_view key) const;
    void fail(ResultCode code, std::string_view key, std::string expected);

    const nlohmann::json& object_;
    std::string objectPointer_;
    ResultCode code_ = ResultCode::Ok;
    std::string problemPointer_;
    std::string expected_;
};

} // namespace limpettrestle
