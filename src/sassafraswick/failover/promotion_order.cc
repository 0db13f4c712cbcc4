#include "sassafraswick/failover/promotion_order.h"

#include "sassafraswick/failover/loss_detection.h"

namespace sassafraswick {
namespace {

order_end FindOrderEnd(const promotion_order& order, const group_health& group,
                       const replacement_settings& settings, time_point now) {
  const instance_health* const instance = FindInstance(group, order.instance);
  const bool has_left = instance != nullptr &&
                        (instance->replaced ||
                         (instance->has_announced_stop && !instance->listed));
  if (has_left) {
    return order_end::kInstanceLeft;
  }
  // It may lead out of this host's sight.
  if (instance != nullptr && MayLead(*instance)) {
    return order_end::kNone;
  }
  // One that is down may be back in time.
  return now - order.sent_at < settings.order_lifetime ? order_end::kNone
                                                       : order_end::kTimedOut;
}

void EndOrder(replacement_state& state, order_end reason) {
  state.order.reset();
  state.last_order_end = reason;
}

void RemoveRequest(replacement_state& state, order_end reason) {
  if (--state.order->requests == 0) {
    EndOrder(state, reason);
  }
}

void CountEffect(replacement_state& state, const group_health& group) {
  const instance_health* const leader = FindCurrentPrimary(group);
  if (leader == nullptr || leader->id != state.order->instance ||
      leader->requested_at < state.order->first_sent_at ||
      leader->status->term <= state.order->counted_term) {
    return;
  }
  state.order->counted_term = leader->status->term;
  RemoveRequest(state, order_end::kTookEffect);
}

}  // namespace

void AddOrder(replacement_state& state, const std::string& instance,
              const group_health& group, const replacement_settings& settings,
              time_point now) {
  if (!state.order.has_value() || state.order->instance != instance) {
    state.order = promotion_order();
    state.order->instance = instance;
    state.order->first_sent_at = now;
    state.order->counted_term = HighestTerm(group);
  }
  const instance_health* const ordered = FindInstance(group, instance);
  state.order->responded =
      ordered != nullptr && HasJustResponded(*ordered, settings, now);
  state.order->process_seen_since =
      ordered == nullptr ? std::nullopt
                         : std::optional<time_point>(ordered->seen_since);
  state.order->is_inherited = false;
  state.order->sent_at = now;
  ++state.order->requests;
}

void InheritOrder(replacement_state& state, const std::string& instance,
                  unsigned requests, time_point now) {
  promotion_order order;
  order.instance = instance;
  order.first_sent_at = now;
  order.sent_at = now;
  order.requests = requests;
  order.is_inherited = true;
  state.order = order;
}

void UpdateOrder(replacement_state& state, const group_health& group,
                 const replacement_settings& settings, time_point now) {
  if (state.order.has_value()) {
    CountEffect(state, group);
  }
  if (!state.order.has_value()) {
    return;
  }
  const order_end end = FindOrderEnd(*state.order, group, settings, now);
  if (end != order_end::kNone) {
    EndOrder(state, end);
  }
}

void CancelRequest(replacement_state& state) {
  if (state.order.has_value()) {
    RemoveRequest(state, order_end::kNotExecuted);
  }
}

bool MayOrder(const replacement_state& state, const std::string& instance,
              const replacement_settings& settings, time_point now) {
  if (state.awaits_earlier_orders) {
    return false;
  }
  if (!state.order.has_value()) {
    return true;
  }
  const promotion_order& order = *state.order;
  const bool was_awaited =
      order.is_inherited || now - order.sent_at >= settings.promotion_timeout;
  return order.instance == instance && was_awaited &&
         now - order.first_sent_at < settings.order_lifetime;
}

bool MaySendOrder(const replacement_state& state, const group_health& group,
                  const replacement_settings& settings, time_point now) {
  if (!state.order.has_value()) {
    return false;
  }
  const instance_health* const instance =
      FindInstance(group, state.order->instance);
  return instance != nullptr && !instance->replaced &&
         instance->seen_since == state.order->process_seen_since &&
         (!state.order->responded ||
          HasJustResponded(*instance, settings, now));
}

bool IsOrderUnsettled(const replacement_state& state,
                      const group_health& group) {
  const instance_health* const leader = FindCurrentPrimary(group);
  return state.order.has_value() && leader != nullptr &&
         IsResponsive(*leader) && leader->id != state.order->instance;
}

}  // namespace sassafraswick
