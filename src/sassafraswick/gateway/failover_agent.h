#ifndef SASSAFRASWICK_GATEWAY_FAILOVER_AGENT_H_
#define SASSAFRASWICK_GATEWAY_FAILOVER_AGENT_H_

#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "sassafraswick/failover/replacement.h"
#include "sassafraswick/gateway/fleet_agent.h"
#include "sassafraswick/net/spawn.h"

/// @file
/// Watches all groups and replaces primaries while this host holds the failover
/// lease.

namespace sassafraswick {

/// Time between two looks at a group.
inline constexpr duration kFailoverTick = std::chrono::milliseconds(50);
/// Time without an answer after which the primary is asked.
inline constexpr duration kPrimaryInterval = std::chrono::milliseconds(150);
/// Time between two questions to every instance of a healthy group.
inline constexpr duration kSurveyInterval = std::chrono::milliseconds(800);

template <gateway_platform Platform>
class failover_agent {
 public:
  using codec = typename Platform::codec;
  using group_pointer = std::shared_ptr<target_group<codec>>;
  using slot_pointer = typename target_group<codec>::slot_pointer;

  failover_agent(const Platform& platform, gateway_state<codec>& gateway,
                 fleet_agent<Platform>& fleet)
      : platform_(platform), gateway_(gateway), fleet_(fleet) {}

  /// Runs until the host ends.
  boost::asio::awaitable<void> Run() {
    while (true) {
      co_await Sleep(kFailoverTick);
      const time_point now = monotonic_clock::now();
      if (!fleet_.HoldsFailover(now)) {
        watched_.clear();
        continue;
      }
      for (const std::pair<const std::string, group_pointer>& entry :
           gateway_.groups) {
        Look(entry.second, now);
      }
    }
  }

 private:
  /// One group under watch.
  struct watched_group {
    replacement_state state;
    /// When each instance was asked last.
    std::map<std::string, time_point> asked_at;
  };

  void Look(const group_pointer& group, time_point now) {
    watched_group& watched = watched_[group->Name()];
    AskDue(group, watched, now);
    const replacement_phase before = watched.state.phase;
    const std::vector<replacement_action> actions =
        AdvanceReplacement(watched.state, group->Health(), settings_, now);
    LogPhase(*group, watched.state, before);
    for (const replacement_action& action : actions) {
      Spawn(gateway_.context, "group",
            [this, group, action] { return Act(group, action); });
    }
  }

  /// Asks instances whose answers have become old.
  void AskDue(const group_pointer& group, watched_group& watched,
              time_point now) {
    const bool busy = watched.state.phase != replacement_phase::kWatching ||
                      MayBeCutOff(watched.state, settings_, now) ||
                      group->View().primary.empty();
    for (const slot_pointer& slot : group->Slots()) {
      const bool is_primary = slot->record.id == group->View().primary;
      time_point& asked_at = watched.asked_at[slot->record.id];
      const bool quiet =
          is_primary && now - slot->answered_at > kPrimaryInterval;
      const duration interval = busy || quiet || IsUncertain(*slot)
                                    ? kPrimaryInterval
                                    : kSurveyInterval;
      if (now - asked_at < interval) {
        continue;
      }
      asked_at = now;
      group->AskInBackground(slot);
    }
  }

  static bool IsUncertain(const target_slot<codec>& slot) {
    return slot.health.silent_since.has_value() ||
           (slot.health.status.has_value() &&
            slot.health.status->paused_term != 0);
  }

  void LogPhase(const target_group<codec>& group,
                const replacement_state& state, replacement_phase before) {
    if (state.phase == before) {
      return;
    }
    Log(log_level::kInfo, "replacement",
        {{"pool", group.Name()},
         {"phase", std::string(PhaseName(state.phase))},
         {"cause", std::string(CauseName(state.cause))},
         {"primary", state.primary},
         {"term", std::to_string(state.term)},
         {"chosen", state.chosen}});
  }

  boost::asio::awaitable<void> Act(group_pointer group,
                                   replacement_action action) {
    if (action.kind == replacement_action_kind::kPromote) {
      co_await Promote(group, action);
      co_return;
    }
    const slot_pointer slot = group->Find(action.instance);
    if (slot == nullptr) {
      co_return;
    }
    const std::optional<instance_status> status =
        co_await group->Control(slot, StatementOf(action.kind), action.term);
    const auto watched = watched_.find(group->Name());
    if (status.has_value() && watched != watched_.end()) {
      const replacement_phase before = watched->second.state.phase;
      RecordFenced(watched->second.state, group->Health(), action, *status,
                   monotonic_clock::now());
      LogPhase(*group, watched->second.state, before);
    }
  }

  boost::asio::awaitable<void> Promote(group_pointer group,
                                       replacement_action action) {
    // A call that is sent late could follow a successor's.
    if (!fleet_.HoldsFailover(monotonic_clock::now())) {
      co_return;
    }
    ++gateway_.counters.promotions;
    const std::int64_t token = fleet_.Registry().failover.fencing_token;
    const result<bool> accepted = co_await platform_.Promote(
        gateway_.context.get_executor(), group->Name(), action.instance,
        fleet_.Host(), token);
    Log(log_level::kInfo, "promotion",
        {{"pool", group->Name()},
         {"target", action.instance},
         {"token", std::to_string(token)},
         {"outcome", accepted ? (accepted.value() ? "accepted" : "not running")
                              : accepted.error().message}});
    const auto watched = watched_.find(group->Name());
    if (watched != watched_.end()) {
      RecordPromoted(watched->second.state, action,
                     accepted && accepted.value(), monotonic_clock::now());
    }
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
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_FAILOVER_AGENT_H_
