#include "admission.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace limpettrestle {

namespace {

    /// Interval at which the wait for a service is predicted.
    constexpr Millis kUpdateInterval { 10 };
    /// Rates per second at which the settled fraction rises without any wait, and falls under `kFullPressure`.
    constexpr double kRiseRate = 4;
    constexpr double kFallRate = 8;
    constexpr double kFullPressure = 2;
    /// Immediate reaction to the pressure, as a fraction of the settled value.
    constexpr double kDamping = 0.5;
    /// Smallest multiple of the settled fraction that the immediate reaction leaves.
    constexpr double kMinReaction = 0.2;
    /// Time that one update may stand for: the wait before it is not known.
    constexpr Millis kMaxFallStep { 40 };
    constexpr Millis kMaxRiseStep { 500 };

    /// Tolerated wait: this part of the shortest latency target, but at least this part of a service time, so that the slots
    /// stay in use.
    constexpr double kWaitShare = 0.3;
    constexpr double kServiceTimeShare = 0.2;
    constexpr Millis kDefaultLatencyTarget { 100 };

    /// Each priority is admitted at least this part of the fraction of all requests.
    constexpr double kLowPriorityShare = 0.3;
    constexpr double kMixHalfLifeSeconds = 0.5;
    /// Counts below this are dropped.
    constexpr double kMinCount = 0.01;

    /// Time in which a report of another instance doubles.
    constexpr double kReportDoublingSeconds = 0.4;
    /// Time after which no report has an effect.
    constexpr Millis kReportTtl { 2500 };

    /// Pressure above which services get no hedges, and no retries.
    constexpr double kHedgePressure = 0.5;
    constexpr double kRetryPressure = 1;

    /// Service time up to which the fraction rises at the full rate; with longer ones the effect of a change shows later.
    constexpr Millis kFastServiceTime { 20 };
    constexpr double kMinRiseGain = 0.4;

    double riseGain(Micros serviceTime)
    {
        const auto ratio = std::chrono::duration<double>(kFastServiceTime) / std::chrono::duration<double>(std::max<Micros>(serviceTime, kFastServiceTime));
        return std::max(kMinRiseGain, ratio);
    }

    double secondsBetween(TimePoint from, TimePoint to) { return std::chrono::duration<double>(to - from).count(); }

    double limitStep(double seconds, Millis longest) { return std::clamp(seconds, 0.0, std::chrono::duration<double>(longest).count()); }

} // namespace

void AdmittedFraction::update(double pressure, TimePoint now)
{
    const double elapsed = secondsBetween(updatedAt_, now);
    updatedAt_ = now;
    pressure_ = pressure;
    if (pressure > 1) {
        const double rate = kFallRate * std::min(1.0, (pressure - 1) / (kFullPressure - 1));
        settled_ *= std::exp(-rate * limitStep(elapsed, kMaxFallStep));
    } else {
        settled_ *= std::exp(kRiseRate * (1 - pressure) * limitStep(elapsed, kMaxRiseStep));
    }
    settled_ = std::clamp(settled_, kMinimum, 1.0);
}

double AdmittedFraction::value() const
{
    const double reaction = std::clamp(1 - kDamping * (pressure_ - 1), kMinReaction, 1 + kDamping);
    return std::clamp(settled_ * reaction, kMinimum, 1.0);
}

void PriorityMix::add(uint32_t priority, TimePoint now)
{
    const double decay = std::exp2(-secondsBetween(countedAt_, now) / kMixHalfLifeSeconds);
    countedAt_ = now;
    for (auto& [key, count] : counts_)
        count *= decay;
    std::erase_if(counts_, [](const auto& entry) { return entry.second < kMinCount; });
    counts_[priority] += 1;
}

double PriorityMix::shareOf(uint32_t priority, double total) const
{
    double all = 0;
    double higher = 0;
    for (const auto& [key, count] : counts_) {
        all += count;
        if (key < priority)
            higher += count;
    }
    const auto own = counts_.find(priority);
    if (total >= 1 || own == counts_.end())
        return total;
    const double fitting = (total * all - higher) / own->second;
    return std::clamp(fitting, kLowPriorityShare * total, 1.0);
}

void Admission::setTable(const RouteTable& table)
{
    latencyTargets_.clear();
    const auto add = [this](const std::string& service, Millis target) {
        const auto [entry, isNew] = latencyTargets_.emplace(service, target);
        if (!isNew)
            entry->second = std::min(entry->second, target);
    };
    for (const std::vector<const RouteSpec*>& group : table.groups()) {
        const RouteSpec& route = *group.front();
        for (const std::string& shard : route.shards)
            add(shard, route.latencyTarget);
        for (const ServiceShare& share : route.shares)
            add(share.service, route.latencyTarget);
    }
    absl::erase_if(services_, [this](const auto& entry) { return !latencyTargets_.contains(entry.first); });
}

double Admission::positionOf(std::string_view requestId)
{
    // The upper 53 bits fit a double exactly.
    constexpr int kUnusedBits = 11;
    constexpr double kRange = 9007199254740992.0;
    return static_cast<double>(XXH3_64bits(requestId.data(), requestId.size()) >> kUnusedBits) / kRange;
}

void Admission::addRequest(const std::string& service, uint32_t priority, TimePoint now)
{
    services_[service].mix.add(priority, now);
}

bool Admission::isDue(const std::string& service, TimePoint now) const
{
    const Service* entry = find(service);
    return entry == nullptr || now - entry->fraction.updatedAt() >= kUpdateInterval;
}

void Admission::recordWait(const std::string& service, const ServiceWait& predicted, TimePoint now)
{
    Service& entry = services_[service];
    entry.predicted = predicted;
    const double pressure = std::chrono::duration<double>(predicted.wait) / toleratedWait(service, predicted.serviceTime);
    entry.fraction.update(pressure < 1 ? 1 - (1 - pressure) * riseGain(predicted.serviceTime) : pressure, now);
}

void Admission::recordReport(const std::string& service, uint32_t priority, double fraction, TimePoint now)
{
    lastReportAt_ = now;
    services_[service].reports[priority] = { std::clamp(fraction, AdmittedFraction::kMinimum, 1.0), now };
}

bool Admission::hasReports(TimePoint now) const
{
    return lastReportAt_ != TimePoint {} && now - lastReportAt_ < kReportTtl;
}

double Admission::fractionFor(const std::string& service, uint32_t priority, TimePoint now) const
{
    const Service* entry = find(service);
    if (entry == nullptr)
        return 1;
    const double own = entry->mix.shareOf(priority, entry->fraction.value());
    const auto report = entry->reports.find(priority);
    return report == entry->reports.end() ? own : std::min(own, currentFraction(report->second, now));
}

Micros Admission::predictedWait(const std::string& service) const
{
    const Service* entry = find(service);
    return entry == nullptr ? Micros(0) : entry->predicted.wait;
}

bool Admission::allowsHedge(const std::string& service) const
{
    const Service* entry = find(service);
    return entry == nullptr || entry->predicted.wait < toleratedWait(service, entry->predicted.serviceTime) * kHedgePressure;
}

bool Admission::allowsRetry(const std::string& service) const
{
    const Service* entry = find(service);
    return entry == nullptr || entry->predicted.wait < toleratedWait(service, entry->predicted.serviceTime) * kRetryPressure;
}

double Admission::lowestFraction(TimePoint now) const
{
    double lowest = 1;
    for (const auto& [name, entry] : services_) {
        lowest = std::min(lowest, entry.fraction.value());
        for (const auto& [priority, report] : entry.reports)
            lowest = std::min(lowest, currentFraction(report, now));
    }
    return lowest;
}

Micros Admission::toleratedWait(const std::string& service, Micros serviceTime) const
{
    const auto found = latencyTargets_.find(service);
    const Millis target = found == latencyTargets_.end() ? kDefaultLatencyTarget : found->second;
    const auto share = std::chrono::duration_cast<Micros>(target * kWaitShare);
    return std::max({ Micros(1), share, std::chrono::duration_cast<Micros>(serviceTime * kServiceTimeShare) });
}

const Admission::Service* Admission::find(const std::string& service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : &found->second;
}

/// Relaxes a report with its age, so that requests are tried again.
double Admission::currentFraction(const Report& report, TimePoint now)
{
    return std::min(1.0, report.fraction * std::exp2(secondsBetween(report.at, now) / kReportDoublingSeconds));
}

} // namespace limpettrestle
