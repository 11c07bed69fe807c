/// Merging of shard replies into the rows of an answer.

#include "limpettrestle/limpettrestle.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace limpettrestle {

namespace {

    using nlohmann::json;

    /// Appends the rows of one shard to `rows`. Returns false if the body is not a list of rows.
    bool readRows(const ShardBody& shard, std::vector<Row>& rows)
    {
        const json list = json::parse(*shard.body, nullptr, false);
        if (list.is_discarded() || !list.is_array())
            return false;
        const size_t before = rows.size();
        for (const json& entry : list) {
            const bool isRow = entry.is_object() && entry.contains("id") && entry["id"].is_string()
                && entry.contains("score") && entry["score"].is_number();
            if (!isRow) {
                rows.resize(before);
                return false;
            }
            rows.push_back({ entry["score"].get<double>(), entry["id"].get<std::string>(), shard.shard });
        }
        return true;
    }

    bool isBetter(const Row& a, const Row& b)
    {
        if (a.score != b.score)
            return a.score > b.score;
        return a.id < b.id;
    }

} // namespace

void mergeRows(Answer& answer)
{
    for (const ShardBody& shard : answer.bodies) {
        if (readRows(shard, answer.rows))
            continue;
        answer.missing.push_back({ shard.shard, ResultCode::TruncatedMessage });
        --answer.shardsCovered;
    }
    answer.bodies.clear();
    if (answer.shardsTotal > 0 && !answer.missing.empty()) {
        const double coverage = static_cast<double>(answer.shardsCovered) / answer.shardsTotal;
        const bool isTooLittle = answer.shardsCovered == 0 || coverage < answer.minCoverage;
        answer.code = isTooLittle ? ResultCode::CoverageBelowMinimum : ResultCode::PartialCoverage;
        if (isTooLittle)
            answer.rows.clear();
    }
    const size_t count = std::min<size_t>(answer.limit, answer.rows.size());
    std::partial_sort(answer.rows.begin(), answer.rows.begin() + static_cast<ptrdiff_t>(count), answer.rows.end(), isBetter);
    answer.rows.resize(count);
}

} // namespace limpettrestle
