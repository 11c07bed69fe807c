#include "json_checks.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace limpettrestle {

ObjectCheck::ObjectCheck(const nlohmann::json& object, std::string objectPointer)
    : object_(object)
    , objectPointer_(std::move(objectPointer))
{
    if (!object_.is_object()) {
        code_ = ResultCode::BadValue;
        problemPointer_ = objectPointer_;
        expected_ = "an object";
    }
}

ObjectCheck& ObjectCheck::allow(std::initializer_list<std::string_view> keys)
{
    if (!ok())
        return *this;
    for (const auto& [key, value] : object_.items()) {
        if (std::find(keys.begin(), keys.end(), key) == keys.end()) {
            fail(ResultCode::UnknownField, key, "a known key");
            return *this;
        }
    }
    return *this;
}

ObjectCheck& ObjectCheck::require(std::string_view key)
{
    if (ok() && !find(key))
        fail(ResultCode::MissingField, key, "this key to be present");
    return *this;
}

ObjectCheck& ObjectCheck::text(std::string_view key, std::string& out)
{
    const nlohmann::json* value = find(key);
    if (!value)
        return *this;
    if (value->is_string())
        out = value->get<std::string>();
    else
        fail(ResultCode::BadValue, key, "a string");
    return *this;
}

ObjectCheck& ObjectCheck::boolean(std::string_view key, bool& out)
{
    const nlohmann::json* value = find(key);
    if (!value)
        return *this;
    if (value->is_boolean())
        out = value->get<bool>();
    else
        fail(ResultCode::BadValue, key, "true or false");
    return *this;
}

ObjectCheck& ObjectCheck::number(std::string_view key, double& out, double min, double max)
{
    const nlohmann::json* value = find(key);
    if (!value)
        return *this;
    if (value->is_number() && value->get<double>() >= min && value->get<double>() <= max)
        out = value->get<double>();
    else
        fail(ResultCode::BadValue, key, absl::StrCat("a number from ", min, " to ", max));
    return *this;
}

ObjectCheck& ObjectCheck::integer(std::string_view key, uint64_t& out, uint64_t min, uint64_t max)
{
    const nlohmann::json* value = find(key);
    if (!value)
        return *this;
    const bool inRange = value->is_number_unsigned() && value->get<uint64_t>() >= min && value->get<uint64_t>() <= max;
    if (inRange)
        out = value->get<uint64_t>();
    else
        fail(ResultCode::BadValue, key, absl::StrCat("a whole number from ", min, " to ", max));
    return *this;
}

ObjectCheck& ObjectCheck::millis(std::string_view key, Millis& out, uint64_t min, uint64_t max)
{
    uint64_t count = static_cast<uint64_t>(out.count());
    integer(key, count, min, max);
    out = Millis(count);
    return *this;
}

const nlohmann::json* ObjectCheck::find(std::string_view key) const
{
    if (!ok())
        return nullptr;
    const auto it = object_.find(key);
    return it == object_.end() ? nullptr : &*it;
}

void ObjectCheck::fail(ResultCode code, std::string_view key, std::string expected)
{
    code_ = code;
    problemPointer_ = objectPointer_ + "/" + std::string(key);
    expected_ = std::move(expected);
}

} // namespace limpettrestle
