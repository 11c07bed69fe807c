/// Shared facts of a gateway: those that readers send, and what evacuated zones change.

#include "gateway.h"

namespace limpettrestle {

void Gateway::adoptFacts(const ChangesReply& reply)
{
    if (!reply.factsDigest)
        return;
    state_.applyFacts(reply.facts, reply.sender);
    updateFacts();
}

void Gateway::updateFacts()
{
    follower_->setFactsDigest(state_.facts().digest());
    // Instances of an earlier build go on calling the replicas of evacuated zones.
    const uint32_t required = state_.directory().evacuatedZones().empty() ? 0 : static_cast<uint32_t>(InstanceFeature::SharedFacts);
    plan_->requireFeatures(required);
    dispatcher_->requireFeatures(required);
}

bool Gateway::lacksFacts(const ChangesReply& reply) const
{
    return settings_.evacuationReaction && !state_.hasFacts() && !reply.factsDigest;
}

void Gateway::addFacts(const ChangesRequest& request, ChangesReply& reply) const
{
    if (!request.factsDigest || !state_.hasFacts())
        return;
    reply.factsDigest = state_.facts().digest();
    if (*request.factsDigest == *reply.factsDigest)
        return;
    for (const SharedFact& fact : state_.facts().all())
        reply.facts.push_back(toEntry(fact, clock_.now()));
}

} // namespace limpettrestle
