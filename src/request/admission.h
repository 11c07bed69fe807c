#pragma once

/// Admission control: decides which requests are refused at once because the replicas of a service have no room for
/// them. All instances refuse the same requests, by a hash of the request ID, so that a search that is divided among
/// instances is refused or admitted as a whole. Does no I/O.

#include "../version/route_table.h"

#include <absl/container/flat_hash_map.h>
#include <map>

namespace limpettrestle {

/// Fraction of the requests that fits, found by feedback: it falls while the predicted wait exceeds the tolerated one
/// and rises while it is shorter.
class AdmittedFraction {
public:
    /// `pressure`: predicted wait as a multiple of the tolerated one.
    void update(double pressure, TimePoint now);
    /// Fraction to admit at present, from `kMinimum` to 1.
    double value() const;
    double pressure() const { return pressure_; }
    TimePoint updatedAt() const { return updatedAt_; }

    /// So many requests are always admitted, which shows when there is room again.
    static constexpr double kMinimum = 0.02;

private:
    double settled_ = 1;
    double pressure_ = 0;
    TimePoint updatedAt_ {};
};

/// Recent requests by priority.
class PriorityMix {
public:
    void add(uint32_t priority, TimePoint now);
    /// Fraction of the requests of a priority that is admitted if `total` of all requests is: those of higher priority
    /// first, but of each a small share.
    double shareOf(uint32_t priority, double total) const;

private:
    /// Decaying counts by priority.
    std::map<uint32_t, double> counts_;
    TimePoint countedAt_ {};
};

/// Wait for a replica of a service.
struct ServiceWait {
    Micros wait { 0 };
    /// Time for which a call occupies a slot of the fastest replica.
    Micros serviceTime { 0 };
};

class Admission {
public:
    /// Sets the tolerated waits by the latency targets of the routes.
    void setTable(const RouteTable& table);

    /// Position of a request in the order of refusal, 0 to 1; the same at all instances.
    static double positionOf(std::string_view requestId);

    /// Counts a request for a service.
    void addRequest(const std::string& service, uint32_t priority, TimePoint now);
    /// True if the wait for a service should be predicted anew.
    bool isDue(const std::string& service, TimePoint now) const;
    void recordWait(const std::string& service, const ServiceWait& predicted, TimePoint now);
    /// Records the fraction that another instance, which calls the replicas, admits of a priority.
    void recordReport(const std::string& service, uint32_t priority, double fraction, TimePoint now);

    /// True if another instance has refused requests a short time ago.
    bool hasReports(TimePoint now) const;
    /// Fraction of the requests of a priority that the service has room for.
    double fractionFor(const std::string& service, uint32_t priority, TimePoint now) const;
    bool admits(const std::string& service, uint32_t priority, double position, TimePoint now) const { return position < fractionFor(service, priority, now); }
    /// Predicted wait for a service at the last update.
    Micros predictedWait(const std::string& service) const;

    /// Repeats stop before first calls, and hedges before retries.
    bool allowsHedge(const std::string& service) const;
    bool allowsRetry(const std::string& service) const;

    /// Lowest fraction of all requests of a service that is admitted at present.
    double lowestFraction(TimePoint now) const;

private:
    struct Report {
        double fraction = 1;
        TimePoint at {};
    };

    struct Service {
        AdmittedFraction fraction;
        PriorityMix mix;
        ServiceWait predicted;
        /// Reports of other instances by priority.
        std::map<uint32_t, Report> reports;
    };

    Micros toleratedWait(const std::string& service, Micros serviceTime) const;
    const Service* find(const std::string& service) const;
    static double currentFraction(const Report& report, TimePoint now);

    absl::flat_hash_map<std::string, Service> services_;
    /// Time of the last report of another instance.
    TimePoint lastReportAt_ {};
    /// Shortest latency target of the routes that use a service.
    absl::flat_hash_map<std::string, Millis> latencyTargets_;
};

} // namespace limpettrestle
