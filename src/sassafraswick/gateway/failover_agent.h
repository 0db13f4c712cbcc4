#ifndef SASSAFRASWICK_GATEWAY_FAILOVER_AGENT_H_
#define SASSAFRASWICK_GATEWAY_FAILOVER_AGENT_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sassafraswick/failover/promotion_order.h"
#include "sassafraswick/failover/replacement.h"
#include "sassafraswick/failover/step_down_relay.h"
#include "sassafraswick/failover/successor_choice.h"
#include "sassafraswick/gateway/earlier_orders.h"
#include "sassafraswick/gateway/failover_log.h"
#include "sassafraswick/gateway/fleet_agent.h"
#include "sassafraswick/net/spawn.h"

/// @file
/// Monitors all groups and replaces failed primaries while this host holds the
/// failover lease.

namespace sassafraswick {

/// Interval between checks of a group.
inline constexpr duration kFailoverCheckInterval =
    std::chrono::milliseconds(50);
/// Interval between status requests to a primary that has not responded for
/// that long, to an instance that is unresponsive or whose replication is
/// paused, and to all instances of a group that may need a new primary.
inline constexpr duration kPrimaryStatusInterval =
    std::chrono::milliseconds(150);
/// Interval between status requests to each instance of a healthy group.
inline constexpr duration kHealthyGroupStatusInterval =
    std::chrono::milliseconds(800);

template <gateway_platform Platform>
class failover_agent {
 public:
  using codec = typename Platform::codec;
  using group_pointer = std::shared_ptr<target_group<codec>>;
  using target_pointer = typename target_group<codec>::target_pointer;
  using promoter = typename Platform::promoter;

  failover_agent(const Platform& platform, gateway_state<codec>& gateway,
                 fleet_agent<Platform>& fleet)
      : platform_(platform),
        gateway_(gateway),
        fleet_(fleet),
        earlier_orders_(gateway, fleet.Orders()) {
    fleet_.StepDowns().OnStatus([this](const std::string& pool,
                                       const replacement_action& action,
                                       const instance_status& status) {
      OnFenced(pool, action, status);
    });
  }

  /// Runs until the process ends.
  boost::asio::awaitable<void> Run() {
    while (true) {
      co_await Sleep(kFailoverCheckInterval);
      const time_point now = monotonic_clock::now();
      if (!fleet_.HoldsFailover(now)) {
        ForgetGroups();
        earlier_orders_.EndClaim(fleet_.StoreEra(), now);
        continue;
      }
      const store_revision claim = fleet_.Registry().failover.fencing_token;
      if (claim != earlier_orders_.Memory().Claim()) {
        ForgetGroups();
        earlier_orders_.EndClaim(fleet_.StoreEra(), now);
        earlier_orders_.BeginClaim(claim);
      }
      // A holder that had not seen the era could order until its lease ended.
      const duration lost_order_lifetime =
          kFailoverLeaseTtl + settings_.order_lifetime;
      earlier_orders_.Memory().Hold(
          fleet_.MayHaveLostChanges(lost_order_lifetime, now),
          now + fleet_.FailoverTimeLeft(now));
      for (const std::pair<const std::string, group_pointer>& entry :
           gateway_.groups) {
        CheckGroup(entry.second, now);
      }
    }
  }

 private:
  /// State of one monitored group.
  struct watched_group {
    replacement_state state;
    /// When each instance was last sent a status request.
    std::map<std::string, time_point> status_requested_at;
    time_point fence_logged_at;
    /// When other hosts were asked what they have passed on.
    time_point asked_at;
    /// What was ordered before this host's claim of the lease is known.
    bool has_adopted = false;
    /// Of the record of the last order.
    store_revision record_revision;
    /// Opened when the fence is complete.
    std::shared_ptr<promoter> sender;
  };

  /// Forgets all that is known of the groups under a claim of the lease, except
  /// the orders.
  void ForgetGroups() {
    for (const std::pair<const std::string, watched_group>& each : watched_) {
      if (each.second.state.order.has_value()) {
        earlier_orders_.Memory().Remember(each.first, *each.second.state.order,
                                          each.second.record_revision);
      } else if (each.second.has_adopted) {
        earlier_orders_.Memory().Forget(each.first);
      }
    }
    watched_.clear();
  }

  void AdoptEarlierOrder(const std::string& pool, watched_group& watched) {
    watched.state.awaits_earlier_orders = !earlier_orders_.AreKnown();
    if (earlier_orders_.AreKnown() && !watched.has_adopted) {
      watched.has_adopted = true;
      watched.record_revision = earlier_orders_.Adopt(pool, watched.state);
    }
  }

  void CheckGroup(const group_pointer& group, time_point now) {
    watched_group& watched = watched_[group->Name()];
    AdoptEarlierOrder(group->Name(), watched);
    QueryDueInstances(group, watched, now);
    const replacement_phase previous_phase = watched.state.phase;
    const std::optional<promotion_order> previous_order = watched.state.order;
    watched.state.list_read_at = fleet_.TargetsReadAt();
    watched.state.acknowledged = group->Acknowledged();
    const std::vector<replacement_action> actions =
        AdvanceReplacement(watched.state, group->Health(), settings_, now);
    if (AwaitsList(watched.state, now)) {
      fleet_.RequestTargets();
    }
    if (AwaitsAcknowledged(watched.state, settings_, watched.asked_at, now)) {
      watched.asked_at = now;
      fleet_.Acknowledged().Ask(group->Name());
    }
    OnPhase(*group, watched, previous_phase);
    OnOrder(group->Name(), watched, previous_order, now);
    LogIncompleteFenceRarely(*group, watched, now);
    for (const replacement_action& action : actions) {
      if (NeedsRelay(watched.state, group->Health(), action)) {
        fleet_.StepDowns().Request(group->Name(), action);
      }
      Spawn(gateway_.context, "group",
            [this, group, action] { return ExecuteAction(group, action); });
    }
  }

  /// Sends status requests to instances whose last status is too old.
  void QueryDueInstances(const group_pointer& group, watched_group& watched,
                         time_point now) {
    const bool needs_frequent_status =
        watched.state.phase != replacement_phase::kWatching ||
        MayBeCutOff(watched.state, settings_, now) ||
        group->View().primary.empty();
    for (const target_pointer& target : group->Targets()) {
      const bool is_primary = target->record.id == group->View().primary;
      time_point& status_requested_at =
          watched.status_requested_at[target->record.id];
      const bool primary_is_unresponsive =
          is_primary && now - target->answered_at > kPrimaryStatusInterval;
      const duration interval = needs_frequent_status ||
                                        primary_is_unresponsive ||
                                        IsUncertain(*target)
                                    ? kPrimaryStatusInterval
                                    : kHealthyGroupStatusInterval;
      if (now - status_requested_at < interval) {
        continue;
      }
      status_requested_at = now;
      group->RequestStatusInBackground(target);
    }
  }

  static bool IsUncertain(const target_state<codec>& target) {
    return target.health.silent_since.has_value() ||
           (target.health.status.has_value() &&
            target.health.status->paused_term != 0);
  }

  void OnPhase(const target_group<codec>& group, watched_group& watched,
               replacement_phase previous_phase) {
    const replacement_state& state = watched.state;
    if (state.phase == previous_phase) {
      return;
    }
    if (state.phase == replacement_phase::kWaiting) {
      PreparePromotion(watched);
    }
    LogPhase(group.Name(), state);
    if (state.phase == replacement_phase::kPromoting) {
      gateway_.counters.unproved_promotions +=
          state.proof == choice_proof::kUnproved ? 1 : 0;
      LogChoice(group.Name(), state, group.Health(), monotonic_clock::now());
    }
  }

  /// Handles the end of an order.
  void OnOrder(const std::string& pool, watched_group& watched,
               const std::optional<promotion_order>& previous, time_point now) {
    if (!previous.has_value() || watched.state.order.has_value()) {
      return;
    }
    LogOrderEnd(pool, *previous, watched.state, now);
    const store_revision revision =
        std::exchange(watched.record_revision, store_revision());
    if (IsKnown(revision)) {
      Spawn(gateway_.context, "erase_order", [this, pool, revision] {
        return fleet_.Orders().Erase(pool, revision);
      });
    }
  }

  static void LogIncompleteFenceRarely(const target_group<codec>& group,
                                       watched_group& watched, time_point now) {
    constexpr duration kInterval = std::chrono::seconds(1);
    const replacement_state& state = watched.state;
    const bool is_due = state.phase == replacement_phase::kFencing &&
                        now - state.since >= kInterval &&
                        now - watched.fence_logged_at >= kInterval;
    if (is_due) {
      watched.fence_logged_at = now;
      LogIncompleteFence(group.Name(), state, group.Health(), now);
    }
  }

  boost::asio::awaitable<void> ExecuteAction(group_pointer group,
                                             replacement_action action) {
    if (action.kind == replacement_action_kind::kPromote) {
      co_await Promote(group, action);
      co_return;
    }
    const target_pointer target = group->Find(action.instance);
    if (target == nullptr) {
      co_return;
    }
    const store_revision claim = fleet_.Registry().failover.fencing_token;
    const std::function<bool()> may_send = [this, claim] {
      return IsHeldSince(claim);
    };
    const std::optional<instance_status> status = co_await group->SendControl(
        target, StatementOf(action.kind), action.term, may_send);
    if (status.has_value()) {
      OnFenced(group->Name(), action, *status);
    }
  }

  /// Records the status that an instance returned to a fencing request.
  void OnFenced(const std::string& pool, const replacement_action& action,
                const instance_status& status) {
    const group_pointer group = gateway_.FindGroup(pool);
    const auto watched = watched_.find(pool);
    if (group == nullptr || watched == watched_.end()) {
      return;
    }
    const replacement_phase previous_phase = watched->second.state.phase;
    RecordFenced(watched->second.state, group->Health(), action, status,
                 monotonic_clock::now());
    OnPhase(*group, watched->second, previous_phase);
  }

  boost::asio::awaitable<void> Promote(group_pointer group,
                                       replacement_action action) {
    const auto watched = watched_.find(group->Name());
    if (watched == watched_.end() || !watched->second.state.order.has_value()) {
      co_return;
    }
    const promotion_order order = *watched->second.state.order;
    const store_revision claim = fleet_.Registry().failover.fencing_token;
    const std::int64_t token = ToFencingToken(claim);
    // Asked right before the request is written.
    bool was_sent = false;
    const std::function<duration()> time_left = [this, group, claim,
                                                 &was_sent] {
      const duration left =
          MaySend(*group) ? TimeLeft(claim) : duration::zero();
      was_sent = left > duration::zero();
      return left;
    };
    const bool is_recorded = co_await RecordOrder(group, order, claim);
    if (!is_recorded) {
      FinishPromotion(*group, action, order, order_result::kNotRecorded);
      co_return;
    }
    const std::shared_ptr<promoter> sender = TakePromoter(group->Name());
    const time_point sent_at = monotonic_clock::now();
    const result<bool> accepted = co_await sender->Promote(
        group->Name(), action.instance, fleet_.Host(), token, time_left);
    gateway_.counters.promotions += was_sent ? 1 : 0;
    Log(log_level::kInfo, "promotion",
        {{"pool", group->Name()},
         {"target", action.instance},
         {"token", std::to_string(token)},
         {"took_ms",
          std::to_string(ToMilliseconds(monotonic_clock::now() - sent_at))},
         {"outcome", accepted ? (accepted.value() ? "accepted" : "not running")
                              : accepted.error().message}});
    FinishPromotion(*group, action, order, ResultOf(accepted, was_sent));
  }

  /// Lets the next holder of the lease know of the order that is sent next.
  /// @return False if the order must not be sent: it was not recorded while it
  /// could be sent.
  boost::asio::awaitable<bool> RecordOrder(group_pointer group,
                                           promotion_order order,
                                           store_revision claim) {
    const std::string pool = group->Name();
    const std::function<bool()> may_send = [this, group, order, claim] {
      return IsLastRequest(group->Name(), order) && MaySend(*group) &&
             IsHeldSince(claim);
    };
    const store_revision revision =
        co_await fleet_.Orders().Write(pool, order, claim, may_send);
    if (!IsKnown(revision)) {
      co_return false;
    }
    if (IsLastRequest(pool, order)) {
      watched_.find(pool)->second.record_revision = revision;
      co_return true;
    }
    if (order.requests == 1) {
      co_await fleet_.Orders().Erase(pool, revision);
    }
    co_return false;
  }

  /// Returns whether a request is the last one of an outstanding order.
  [[nodiscard]] bool IsLastRequest(const std::string& pool,
                                   const promotion_order& request) const {
    const auto watched = watched_.find(pool);
    return watched != watched_.end() &&
           watched->second.state.order.has_value() &&
           watched->second.state.order->sent_at == request.sent_at;
  }

  /// Records the outcome of a request.
  /// @param request The order as it was when it was requested.
  void FinishPromotion(const target_group<codec>& group,
                       const replacement_action& action,
                       const promotion_order& request, order_result outcome) {
    const bool has_no_effect =
        outcome != order_result::kAccepted && outcome != order_result::kUnknown;
    if (has_no_effect) {
      earlier_orders_.Memory().Withdraw(group.Name(), request);
    }
    const auto watched = watched_.find(group.Name());
    if (watched == watched_.end()) {
      return;
    }
    const time_point now = monotonic_clock::now();
    const std::optional<promotion_order> order = watched->second.state.order;
    RecordPromoted(watched->second.state, action, outcome, now);
    OnOrder(group.Name(), watched->second, order, now);
  }

  /// @param was_sent Whether the request may have reached the platform.
  static order_result ResultOf(const result<bool>& accepted, bool was_sent) {
    if (accepted) {
      return accepted.value() ? order_result::kAccepted
                              : order_result::kNotRunning;
    }
    const bool is_answered = accepted.error().kind != error_kind::kUnavailable;
    return is_answered || !was_sent ? order_result::kNotExecuted
                                    : order_result::kUnknown;
  }

  /// Opens a connection for the order that follows once the primary lease has
  /// expired, so that the lease of this host is checked right before the order
  /// is sent.
  void PreparePromotion(watched_group& watched) {
    fleet_.Orders().PrepareLease();
    if (watched.sender != nullptr && watched.sender->IsConnected()) {
      return;
    }
    watched.sender = platform_.MakePromoter(gateway_.context.get_executor());
    Spawn(gateway_.context, "promotion",
          [sender = watched.sender]() -> boost::asio::awaitable<void> {
            const result<void> connected = co_await sender->Connect();
            if (!connected) {
              Log(log_level::kInfo, "promotion_connect_failed",
                  {{"reason", connected.error().message}});
            }
          });
  }

  /// Returns the prepared connection of a group, or a new one.
  std::shared_ptr<promoter> TakePromoter(const std::string& group) {
    const auto watched = watched_.find(group);
    if (watched != watched_.end() && watched->second.sender != nullptr) {
      std::shared_ptr<promoter> prepared =
          std::exchange(watched->second.sender, nullptr);
      if (prepared->IsConnected()) {
        return prepared;
      }
    }
    return platform_.MakePromoter(gateway_.context.get_executor());
  }

  /// Returns whether the order of a group may be sent now.
  [[nodiscard]] bool MaySend(const target_group<codec>& group) const {
    const auto watched = watched_.find(group.Name());
    if (watched == watched_.end()) {
      return false;
    }
    const replacement_state& state = watched->second.state;
    const group_health health = group.Health();
    return MayPromote(state, health) &&
           MaySendOrder(state, health, settings_, monotonic_clock::now());
  }

  /// Returns whether this host still holds the failover lease that it claimed
  /// at a revision. What it sends in the name of the lease after its end could
  /// arrive after something that the next holder sent.
  [[nodiscard]] bool IsHeldSince(const store_revision& claim) const {
    return TimeLeft(claim) > duration::zero();
  }

  /// Returns for how much longer that is so, or zero.
  [[nodiscard]] duration TimeLeft(const store_revision& claim) const {
    if (fleet_.Registry().failover.fencing_token != claim) {
      return duration::zero();
    }
    return fleet_.FailoverTimeLeft(monotonic_clock::now());
  }

  static control_statement StatementOf(replacement_action_kind kind) {
    switch (kind) {
      case replacement_action_kind::kStepDown:
        return control_statement::kStepDown;
      case replacement_action_kind::kPauseReplication:
        return control_statement::kPauseReplication;
      default:
        return control_statement::kResumeReplication;
    }
  }

  Platform platform_;
  gateway_state<codec>& gateway_;
  fleet_agent<Platform>& fleet_;
  replacement_settings settings_;
  std::map<std::string, watched_group> watched_;
  earlier_orders<Platform> earlier_orders_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_FAILOVER_AGENT_H_
