#include "crash_exchange.h"

#include <algorithm>

namespace limpettrestle {

namespace {

    /// Time for which a notice is worth sending. A busy instance may not accept a connection at once, and reports are not repeated.
    constexpr Millis kNoticeValidity { 3000 };

} // namespace

CrashExchange::CrashExchange(const CrashExchangeInit& init)
    : init_(init)
{
    isReader_ = std::any_of(init_.readers.begin(), init_.readers.end(), [this](const Endpoint& reader) { return reader.host == init_.self.host && reader.port == init_.self.port; });
}

void CrashExchange::report(const std::vector<CrashReport>& reports)
{
    for (const CrashReport& report : reports) {
        if (forAll_.reports.size() < kMaxNoticeEntries)
            forAll_.reports.push_back(report);
    }
}

void CrashExchange::reportCleared(RequestFingerprint request)
{
    if (forAll_.cleared.size() < kMaxNoticeEntries)
        forAll_.cleared.push_back(request);
}

std::vector<CrashReport> CrashExchange::receive(const CrashNotice& notice)
{
    const TimePoint now = init_.clock->now();
    const bool isPassedOn = passesOn(notice.zone);
    for (const RequestFingerprint request : notice.cleared) {
        const bool isNew = init_.ledger->recordAnswer(request, now);
        if (isNew && isPassedOn && forZone_.cleared.size() < kMaxNoticeEntries)
            forZone_.cleared.push_back(request);
    }
    std::vector<CrashReport> added = init_.ledger->record(notice.reports, now);
    for (const CrashReport& report : added) {
        if (isPassedOn && forZone_.reports.size() < kMaxNoticeEntries)
            forZone_.reports.push_back(report);
    }
    return added;
}

void CrashExchange::flush()
{
    const TimePoint now = init_.clock->now();
    if (!forAll_.isEmpty()) {
        std::vector<InstanceInfo> receivers = init_.instances->all(now);
        const std::vector<InstanceInfo> readers = unlistedReaders(receivers);
        receivers.insert(receivers.end(), readers.begin(), readers.end());
        send(forAll_, std::move(receivers));
    }
    if (!forZone_.isEmpty())
        send(forZone_, init_.instances->inZone(init_.self.zone, now));
}

std::vector<InstanceInfo> CrashExchange::unlistedReaders(const std::vector<InstanceInfo>& known) const
{
    std::vector<InstanceInfo> readers;
    for (const Endpoint& reader : init_.readers) {
        const auto isReader = [&reader](const InstanceInfo& instance) { return instance.host == reader.host && instance.port == reader.port; };
        if (!isReader(init_.self) && std::none_of(known.begin(), known.end(), isReader))
            readers.push_back({ reader.toString(), {}, reader.host, reader.port });
    }
    return readers;
}

void CrashExchange::send(Queue& queue, std::vector<InstanceInfo> receivers)
{
    const auto text = std::make_shared<const std::string>(encode(CrashNotice { init_.self.name, init_.self.zone, std::move(queue.reports), std::move(queue.cleared) }, init_.clock->now()));
    queue = {};
    for (const InstanceInfo& receiver : receivers) {
        if (receiver.name != init_.self.name)
            init_.links->notify(receiver, kCrashesPath, text, kNoticeValidity);
    }
}

} // namespace limpettrestle
