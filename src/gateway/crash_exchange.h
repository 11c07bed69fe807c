#pragma once

/// Exchange of crash reports between instances: collects what this instance has seen, sends it to all instances that it
/// knows, and passes reports of other zones on within its own zone. Readers pass on all reports, because the others may not
/// know each other yet.

#include "../daemon/settings.h"
#include "crash_messages.h"
#include "instance_links.h"

namespace limpettrestle {

struct CrashExchangeInit {
    const ClockI* clock = nullptr;
    InstanceInfo self;
    CrashLedger* ledger = nullptr;
    const InstanceDirectory* instances = nullptr;
    InstanceLinks* links = nullptr;
    /// Addresses of the registry readers, from the settings.
    std::vector<Endpoint> readers;
};

class CrashExchange {
public:
    explicit CrashExchange(const CrashExchangeInit& init);

    /// Queues crash reports of this instance.
    void report(const std::vector<CrashReport>& reports);
    /// Queues the news that a replica has answered a request to this instance.
    void reportCleared(RequestFingerprint request);
    /// Records the reports of another instance and returns those that were new.
    std::vector<CrashReport> receive(const CrashNotice& notice);
    /// Sends what is queued. Called before the event loop waits, so that the reports of one moment share a notice.
    void flush();

private:
    struct Queue {
        std::vector<CrashReport> reports;
        std::vector<RequestFingerprint> cleared;

        bool isEmpty() const { return reports.empty() && cleared.empty(); }
    };

    void send(Queue& queue, std::vector<InstanceInfo> receivers);

    /// Returns the readers that are not among the known instances.
    std::vector<InstanceInfo> unlistedReaders(const std::vector<InstanceInfo>& known) const;
    /// True when new reports of an instance of the zone have to be passed on.
    bool passesOn(const std::string& zone) const { return isReader_ || zone != init_.self.zone; }

    const CrashExchangeInit init_;
    bool isReader_ = false;
    Queue forAll_;
    Queue forZone_;
};

} // namespace limpettrestle
