#include "peer_codec.h"

#include <algorithm>

namespace limpettrestle {

namespace {

    // Primitive values -----------------------------------------------------------------------

    std::string toText(capnp::Text::Reader text) { return { text.cStr(), text.size() }; }
    Body toBody(capnp::Data::Reader data)
    {
        return makeBody(std::string(reinterpret_cast<const char*>(data.begin()), data.size()));
    }
    std::string toString(capnp::Data::Reader data)
    {
        return { reinterpret_cast<const char*>(data.begin()), data.size() };
    }
    capnp::Data::Reader toData(std::string_view text)
    {
        return { reinterpret_cast<const kj::byte*>(text.data()), text.size() };
    }
    capnp::Data::Reader toData(const Body& body)
    {
        return body ? toData(*body) : capnp::Data::Reader();
    }

    template <typename Enum>
    bool readEnum(uint64_t raw, Enum last, Enum& out)
    {
        if (raw > static_cast<uint64_t>(last))
            return false;
        out = static_cast<Enum>(raw);
        return true;
    }

    ResultCode decodeResultCode(uint16_t raw)
    {
        const auto code = static_cast<ResultCode>(raw);
        return resultCodeInfo(code).code;
    }

    // Structures used by several messages ----------------------------------------------------

    void encode(RequestId id, wire::RequestId::Builder out)
    {
        out.setIssuer(id.issuer.value);
        out.setSequence(id.sequence);
    }

    RequestId decode(wire::RequestId::Reader in)
    {
        return { { in.getIssuer() }, in.getSequence() };
    }

    void encode(ConfigStamp stamp, wire::Stamp::Builder out)
    {
        out.setVersion(stamp.version);
        out.setDigest(stamp.digest);
    }

    ConfigStamp decode(wire::Stamp::Reader in)
    {
        return { in.getVersion(), in.getDigest() };
    }

    template <typename List>
    void encodeMembers(const std::vector<MemberUpdate>& members, List out)
    {
        for (uint32_t i = 0; i < members.size(); ++i) {
            const MemberUpdate& member = members[i];
            out[i].setId(member.id.value);
            out[i].setName(member.name);
            out[i].setAddress(member.address);
            out[i].setZone(member.zone.value);
            out[i].setIncarnation(member.incarnation.value);
            out[i].setRefutation(member.refutation);
            out[i].setState(static_cast<uint8_t>(member.state));
        }
    }

    template <typename List>
    bool decodeMembers(List in, std::vector<MemberUpdate>& out)
    {
        for (const auto entry : in) {
            MemberUpdate member;
            member.id = { entry.getId() };
            member.name = toText(entry.getName());
            member.address = toText(entry.getAddress());
            member.zone = { entry.getZone() };
            member.incarnation = { entry.getIncarnation() };
            member.refutation = entry.getRefutation();
            if (!readEnum(entry.getState(), MemberState::Leaving, member.state))
                return false;
            out.push_back(std::move(member));
        }
        return true;
    }

    template <typename List>
    void encodeDrains(const std::vector<DrainRecord>& drains, List out)
    {
        for (uint32_t i = 0; i < drains.size(); ++i) {
            out[i].setReplica(drains[i].replica.value);
            out[i].setServerIncarnation(drains[i].serverIncarnation);
            out[i].setServing(drains[i].serving);
        }
    }

    template <typename List>
    void decodeDrains(List in, std::vector<DrainRecord>& out)
    {
        for (const auto entry : in)
            out.push_back({ { entry.getReplica() }, entry.getServerIncarnation(), entry.getServing() });
    }

    void encode(const Gossip& gossip, wire::Gossip::Builder out)
    {
        encodeMembers(gossip.members, out.initMembers(static_cast<uint32_t>(gossip.members.size())));
        encodeDrains(gossip.drains, out.initDrains(static_cast<uint32_t>(gossip.drains.size())));
        encode(gossip.config, out.initConfig());
    }

    bool decode(wire::Gossip::Reader in, Gossip& out)
    {
        if (!decodeMembers(in.getMembers(), out.members))
            return false;
        decodeDrains(in.getDrains(), out.drains);
        out.config = decode(in.getConfig());
        return true;
    }

    void encode(const Permit& permit, wire::Permit::Builder out)
    {
        out.setIssuer(permit.issuer.value);
        out.setIncarnation(permit.incarnation.value);
        out.setNonceHigh(permit.nonceHigh);
        out.setNonceLow(permit.nonceLow);
    }

    Permit decode(wire::Permit::Reader in)
    {
        return { { in.getIssuer() }, { in.getIncarnation() }, in.getNonceHigh(), in.getNonceLow() };
    }

    // Message bodies: one overload per kind --------------------------------------------------

    using BodyBuilder = wire::Message::Body::Builder;
    using BodyReader = wire::Message::Body::Reader;

    template <typename BodyType>
    void encodeProbe(const BodyType& probe, wire::Probe::Builder out)
    {
        out.setSequence(probe.sequence);
        encode(probe.gossip, out.initGossip());
    }

    void encodeBody(const Probe& body, BodyBuilder out) { encodeProbe(body, out.initProbe()); }
    void encodeBody(const ProbeAck& body, BodyBuilder out) { encodeProbe(body, out.initProbeAck()); }
    void encodeBody(const Notice& body, BodyBuilder out) { encode(body.gossip, out.initNotice()); }
    void encodeBody(const StateRequest& body, BodyBuilder out) { encode(body.config, out.initStateRequest()); }

    void encodeBody(const ProbeRequest& body, BodyBuilder out)
    {
        auto request = out.initProbeRequest();
        request.setSequence(body.sequence);
        request.setTarget(body.target.value);
    }

    void encodeBody(const ConfigNews& body, BodyBuilder out)
    {
        auto news = out.initConfigNews();
        encode(body.result, news.initResult());
        auto record = news.initRecord();
        record.setRevision(body.record.revision);
        record.setChange(body.record.change);
        encode(body.record.base, record.initBase());
        record.setText(body.record.text);
        record.setCheckpoint(body.record.checkpoint);
        record.setVersion(body.record.version);
    }

    void encodeBody(const StateReply& body, BodyBuilder out)
    {
        auto reply = out.initStateReply();
        encode(body.stamp, reply.initStamp());
        reply.setPlatformRevision(body.platformRevision);
        reply.setText(toData(body.text));
        encodeDrains(body.drains, reply.initDrains(static_cast<uint32_t>(body.drains.size())));
        encodeMembers(body.members, reply.initMembers(static_cast<uint32_t>(body.members.size())));
    }

    void encodeBody(const ExecuteBatch& body, BodyBuilder out)
    {
        auto batch = out.initExecuteBatch();
        encode(body.request, batch.initRequest());
        batch.setService(body.service.value);
        batch.setSnapshot(body.snapshot);
        batch.setMapVersion(body.mapVersion);
        batch.setConfigVersion(body.configVersion);
        batch.setLimit(body.limit);
        batch.setPriority(static_cast<uint8_t>(body.priority));
        batch.setBudgetMicros(body.budget.count());
        batch.setQuery(toData(body.query));
        auto items = batch.initItems(static_cast<uint32_t>(body.items.size()));
        for (uint32_t i = 0; i < body.items.size(); ++i) {
            const ExecuteItem& item = body.items[i];
            items[i].setAttempt(item.attempt);
            items[i].setShard(item.shard);
            items[i].setReplica(item.replica.value);
            items[i].setHedge(item.hedge);
            items[i].setDeputy(item.deputy);
        }
    }

    void encodeBody(const ExecuteResults& body, BodyBuilder out)
    {
        auto results = out.initExecuteResults();
        encode(body.request, results.initRequest());
        auto items = results.initItems(static_cast<uint32_t>(body.items.size()));
        for (uint32_t i = 0; i < body.items.size(); ++i) {
            const ExecuteItemResult& item = body.items[i];
            items[i].setAttempt(item.attempt);
            items[i].setShard(item.shard);
            items[i].setReplica(item.replica.value);
            items[i].setCode(static_cast<uint16_t>(item.code));
            items[i].setSent(item.sent);
            items[i].setSnapshot(item.snapshot);
            items[i].setMapVersion(item.mapVersion);
            items[i].setOldestSnapshot(item.oldestSnapshot);
            items[i].setNewestSnapshot(item.newestSnapshot);
            items[i].setPredictedWaitMicros(item.predictedWait.count());
            items[i].setOwnerHint(item.ownerHint.value);
            items[i].setBody(toData(item.body));
            items[i].setChecksum(item.body ? bodyChecksum(*item.body) : 0);
        }
    }

    void encodeBody(const CancelBatch& body, BodyBuilder out)
    {
        auto cancel = out.initCancelBatch();
        encode(body.request, cancel.initRequest());
        auto attempts = cancel.initAttempts(static_cast<uint32_t>(body.attempts.size()));
        for (uint32_t i = 0; i < body.attempts.size(); ++i)
            attempts.set(i, body.attempts[i]);
    }

    void encodeBody(const SlotRequest& body, BodyBuilder out)
    {
        auto request = out.initSlotRequest();
        encode(body.request, request.initRequest());
        request.setReplica(body.replica.value);
        request.setBudgetMicros(body.budget.count());
    }

    void encodeBody(const SlotReply& body, BodyBuilder out)
    {
        auto reply = out.initSlotReply();
        encode(body.request, reply.initRequest());
        reply.setReplica(body.replica.value);
        reply.setCode(static_cast<uint16_t>(body.code));
        reply.setPredictedWaitMicros(body.predictedWait.count());
        reply.setOwnerHint(body.ownerHint.value);
    }

    void encodeBody(const SlotRelease& body, BodyBuilder out)
    {
        auto release = out.initSlotRelease();
        encode(body.request, release.initRequest());
        release.setReplica(body.replica.value);
    }

    void encodeBody(const SubmitForward& body, BodyBuilder out)
    {
        auto forward = out.initSubmitForward();
        encode(body.request, forward.initRequest());
        encode(body.permit, forward.initPermit());
        forward.setService(body.service);
        forward.setKey(body.key);
        forward.setBody(toData(body.body));
        forward.setBudgetMicros(body.budget.count());
    }

    void encodeBody(const SubmitOutcome& body, BodyBuilder out)
    {
        auto outcome = out.initSubmitOutcome();
        encode(body.request, outcome.initRequest());
        outcome.setOutcome(static_cast<uint8_t>(body.outcome));
        outcome.setCode(static_cast<uint16_t>(body.code));
        outcome.setRetryAfterMillis(body.retryAfter.count());
        outcome.setBody(toData(body.body));
    }

    ResultCode decodeBody(wire::ConfigNews::Reader in, ConfigNews& out)
    {
        const auto record = in.getRecord();
        out.result = decode(in.getResult());
        out.record.revision = record.getRevision();
        out.record.change = toText(record.getChange());
        out.record.base = decode(record.getBase());
        out.record.text = toText(record.getText());
        out.record.checkpoint = record.getCheckpoint();
        out.record.version = record.getVersion();
        return ResultCode::Ok;
    }

    ResultCode decodeBody(wire::StateReply::Reader in, StateReply& out)
    {
        out.stamp = decode(in.getStamp());
        out.platformRevision = in.getPlatformRevision();
        out.text = toBody(in.getText());
        decodeDrains(in.getDrains(), out.drains);
        return decodeMembers(in.getMembers(), out.members) ? ResultCode::Ok : ResultCode::BadValue;
    }

    ResultCode decodeBody(wire::ExecuteBatch::Reader in, ExecuteBatch& out)
    {
        out.request = decode(in.getRequest());
        out.service = { in.getService() };
        out.snapshot = in.getSnapshot();
        out.mapVersion = in.getMapVersion();
        out.configVersion = in.getConfigVersion();
        out.limit = in.getLimit();
        out.budget = Micros(in.getBudgetMicros());
        out.query = toBody(in.getQuery());
        for (const auto item : in.getItems())
            out.items.push_back({ item.getAttempt(), item.getShard(), { item.getReplica() }, item.getHedge(), item.getDeputy() });
        const bool isKnownPriority = readEnum(in.getPriority(), PriorityClass::Deferrable, out.priority);
        return isKnownPriority ? ResultCode::Ok : ResultCode::BadValue;
    }

    ResultCode decodeBody(wire::ExecuteResults::Reader in, ExecuteResults& out)
    {
        out.request = decode(in.getRequest());
        for (const auto item : in.getItems()) {
            ExecuteItemResult result;
            result.attempt = item.getAttempt();
            result.shard = item.getShard();
            result.replica = { item.getReplica() };
            result.code = decodeResultCode(item.getCode());
            result.sent = item.getSent();
            result.snapshot = item.getSnapshot();
            result.mapVersion = item.getMapVersion();
            result.oldestSnapshot = item.getOldestSnapshot();
            result.newestSnapshot = item.getNewestSnapshot();
            result.predictedWait = Micros(item.getPredictedWaitMicros());
            result.ownerHint = { item.getOwnerHint() };
            if (item.hasBody())
                result.body = toBody(item.getBody());
            const bool isIntact = !result.body || bodyChecksum(*result.body) == item.getChecksum();
            if (!isIntact)
                result.code = ResultCode::ChecksumMismatch;
            out.items.push_back(std::move(result));
        }
        return ResultCode::Ok;
    }

    ResultCode decodeBody(wire::SubmitForward::Reader in, SubmitForward& out)
    {
        out.request = decode(in.getRequest());
        out.permit = decode(in.getPermit());
        out.service = toText(in.getService());
        out.key = toText(in.getKey());
        out.body = toString(in.getBody());
        out.budget = Micros(in.getBudgetMicros());
        return ResultCode::Ok;
    }

    ResultCode decodeBody(wire::SubmitOutcome::Reader in, SubmitOutcome& out)
    {
        out.request = decode(in.getRequest());
        out.code = decodeResultCode(in.getCode());
        out.retryAfter = Millis(in.getRetryAfterMillis());
        out.body = toString(in.getBody());
        return readEnum(in.getOutcome(), Outcome::Unknown, out.outcome) ? ResultCode::Ok : ResultCode::BadValue;
    }

    template <typename BodyType>
    ResultCode decodeProbe(wire::Probe::Reader in, PeerBody& out)
    {
        BodyType probe;
        probe.sequence = in.getSequence();
        const bool isValid = decode(in.getGossip(), probe.gossip);
        out = std::move(probe);
        return isValid ? ResultCode::Ok : ResultCode::BadValue;
    }

    template <typename BodyType, typename Reader>
    ResultCode decodeInto(Reader in, PeerBody& out)
    {
        BodyType body;
        const ResultCode code = decodeBody(in, body);
        out = std::move(body);
        return code;
    }

    ResultCode decodeBodyUnion(BodyReader in, PeerBody& out)
    {
        switch (in.which()) {
        case wire::Message::Body::PROBE:
            return decodeProbe<Probe>(in.getProbe(), out);
        case wire::Message::Body::PROBE_ACK:
            return decodeProbe<ProbeAck>(in.getProbeAck(), out);
        case wire::Message::Body::PROBE_REQUEST:
            out = ProbeRequest { in.getProbeRequest().getSequence(), { in.getProbeRequest().getTarget() } };
            return ResultCode::Ok;
        case wire::Message::Body::NOTICE: {
            Notice notice;
            const bool isValid = decode(in.getNotice(), notice.gossip);
            out = std::move(notice);
            return isValid ? ResultCode::Ok : ResultCode::BadValue;
        }
        case wire::Message::Body::CONFIG_NEWS:
            return decodeInto<ConfigNews>(in.getConfigNews(), out);
        case wire::Message::Body::STATE_REQUEST:
            out = StateRequest { decode(in.getStateRequest()) };
            return ResultCode::Ok;
        case wire::Message::Body::STATE_REPLY:
            return decodeInto<StateReply>(in.getStateReply(), out);
        case wire::Message::Body::EXECUTE_BATCH:
            return decodeInto<ExecuteBatch>(in.getExecuteBatch(), out);
        case wire::Message::Body::EXECUTE_RESULTS:
            return decodeInto<ExecuteResults>(in.getExecuteResults(), out);
        case wire::Message::Body::CANCEL_BATCH: {
            CancelBatch cancel { decode(in.getCancelBatch().getRequest()), {} };
            for (const uint32_t attempt : in.getCancelBatch().getAttempts())
                cancel.attempts.push_back(attempt);
            out = std::move(cancel);
            return ResultCode::Ok;
        }
        case wire::Message::Body::SLOT_REQUEST: {
            const auto request = in.getSlotRequest();
            out = SlotRequest { decode(request.getRequest()), { request.getReplica() }, Micros(request.getBudgetMicros()) };
            return ResultCode::Ok;
        }
        case wire::Message::Body::SLOT_REPLY: {
            const auto reply = in.getSlotReply();
            out = SlotReply { decode(reply.getRequest()), { reply.getReplica() }, decodeResultCode(reply.getCode()),
                Micros(reply.getPredictedWaitMicros()), { reply.getOwnerHint() } };
            return ResultCode::Ok;
        }
        case wire::Message::Body::SLOT_RELEASE:
            out = SlotRelease { decode(in.getSlotRelease().getRequest()), { in.getSlotRelease().getReplica() } };
            return ResultCode::Ok;
        case wire::Message::Body::SUBMIT_FORWARD:
            return decodeInto<SubmitForward>(in.getSubmitForward(), out);
        case wire::Message::Body::SUBMIT_OUTCOME:
            return decodeInto<SubmitOutcome>(in.getSubmitOutcome(), out);
        }
        return ResultCode::BadValue;
    }

} // namespace

void encodePeerMessage(const PeerMessage& message, wire::Message::Builder out)
{
    out.setFrom(message.from.value);
    out.setIncarnation(message.incarnation.value);
    out.setWallMicros(message.time.wallMicros);
    out.setCounter(message.time.counter);
    std::visit([&](const auto& body) { encodeBody(body, out.getBody()); }, message.body);
}

ResultCode decodePeerMessage(wire::Message::Reader in, PeerMessage& message)
{
    message.from = { in.getFrom() };
    message.incarnation = { in.getIncarnation() };
    message.time = { in.getWallMicros(), in.getCounter() };
    if (!message.from.isValid() || !message.incarnation.isValid())
        return ResultCode::BadValue;
    ResultCode code = ResultCode::TruncatedMessage;
    // Cap'n Proto throws on a pointer outside the message. The exception must not leave this function.
    const auto exception = kj::runCatchingExceptions([&] { code = decodeBodyUnion(in.getBody(), message.body); });
    return exception == nullptr ? code : ResultCode::TruncatedMessage;
}

} // namespace limpettrestle
