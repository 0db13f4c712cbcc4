#include "sassafraswick/gateway/order_memory.h"

namespace sassafraswick {

void order_memory::BeginClaim(const store_revision& claim) {
  is_complete_ = complete_since_era_ != 0 && complete_since_era_ == claim.era;
  claim_ = claim;
}

void order_memory::Hold(bool may_lack_records, time_point valid_until) {
  is_complete_ = is_complete_ || !may_lack_records;
  valid_until_ = valid_until;
}

void order_memory::EndClaim(store_era era, bool has_read, time_point now) {
  if (!IsKnown(claim_)) {
    return;
  }
  // Nobody else could order anything before the era began.
  const bool ended_with_era = era > claim_.era && now < valid_until_;
  complete_since_era_ = ended_with_era && has_read && is_complete_ ? era : 0;
  claim_ = store_revision();
}

void order_memory::Remember(const std::string& pool,
                            const promotion_order& order,
                            const store_revision& record_revision) {
  remembered_[pool] = {order, record_revision, claim_};
}

void order_memory::Withdraw(const std::string& pool,
                            const promotion_order& request) {
  const auto found = remembered_.find(pool);
  const bool is_last = found != remembered_.end() &&
                       found->second.order.sent_at == request.sent_at;
  if (is_last && --found->second.order.requests == 0) {
    remembered_.erase(found);
  }
}

std::optional<remembered_order> order_memory::FindAdopted(
    const std::string& pool, time_point now) const {
  const auto found = remembered_.find(pool);
  if (found == remembered_.end() || now - found->second.order.sent_at >=
                                        replacement_settings().order_lifetime) {
    return std::nullopt;
  }
  remembered_order own = found->second;
  if (own.claim.era < claim_.era) {
    own.record_revision = store_revision();
    return own;
  }
  return own.claim == claim_ ? std::optional<remembered_order>(own)
                             : std::nullopt;
}

}  // namespace sassafraswick
