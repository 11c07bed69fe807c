#pragma once

/// The configuration as instances send it to each other, in JSON. A reader sends the same text to all its followers.

#include "../process/instance_directory.h"

#include <array>
#include <nlohmann/json_fwd.hpp>

namespace limpettrestle {

enum class ConfigForm : uint8_t {
    /// Each route with all its fields; understood by all builds.
    Plain,
    /// Routes refer to their fields other than name, host and prefix, which routes with the same ones share.
    /// Understood by builds with `InstanceFeature::SharedRouteFields`.
    Shared,
    Count,
};

/// Form in which an instance receives the configuration.
ConfigForm configFormFor(const InstanceInfo& instance);

std::string encodeConfig(const RoutingDocument& document, ConfigForm form);
/// Decodes either form. Throws `nlohmann::json::exception` when the value is malformed.
RoutingDocument decodeConfig(const nlohmann::json& value);

/// Encoded forms of the latest configuration. Each is made for the first reply that sends it.
class ConfigTexts {
public:
    const std::string& textOf(const RoutingDocument& document, ConfigForm form);
    /// Number of times that a configuration has been encoded.
    uint64_t encodings() const { return encodings_; }

private:
    uint64_t version_ = 0;
    uint64_t encodings_ = 0;
    std::array<std::string, static_cast<size_t>(ConfigForm::Count)> texts_;
};

} // namespace limpettrestle
