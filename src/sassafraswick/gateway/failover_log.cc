#include "sassafraswick/gateway/failover_log.h"

#include "sassafraswick/core/log.h"
#include "sassafraswick/failover/fence.h"
#include "sassafraswick/failover/group_members.h"
#include "sassafraswick/failover/successor_choice.h"

namespace sassafraswick {
namespace {

std::string FormatPosition(const log_point& position) {
  return std::to_string(position.term) + "." +
         std::to_string(position.position);
}

std::string FormatAge(duration age) {
  return std::to_string(
             std::chrono::duration_cast<std::chrono::milliseconds>(age)
                 .count()) +
         "ms";
}

std::string FormatMilliseconds(time_point from, time_point to) {
  return std::to_string(ToMilliseconds(to - from));
}

std::string DescribeInstance(const replacement_state& state,
                             const instance_health& instance, time_point now) {
  std::string text = instance.id + "=";
  const auto paused = state.paused.find(instance.id);
  if (instance.status.has_value()) {
    text += FormatPosition(instance.status->received) + "(" +
            FormatAge(std::chrono::duration_cast<duration>(
                now - instance.requested_at));
    text += instance.status->is_primary ? " primary" : "";
  } else {
    text += "unknown(";
  }
  if (paused != state.paused.end()) {
    text += " paused at " + FormatPosition(paused->second.received);
  }
  text += instance.leaving ? " leaving" : "";
  text += instance.listed ? "" : " left";
  text += instance.replaced ? " replaced" : "";
  text += instance.silent_since.has_value() ? " silent" : "";
  text += instance.refused_since.has_value() ? " refused" : "";
  return text + ")";
}

/// Returns the members that have left and may have confirmed writes which no
/// remaining replica has.
std::string DescribeMissing(const replacement_state& state) {
  std::string missing;
  for (const std::pair<const process_key, group_member>& member :
       state.members) {
    const bool is_missing = member.second.left_at.has_value() &&
                            !WasTermPrimary(state, member.first);
    missing += is_missing ? member.first.first + " " : "";
  }
  return missing;
}

}  // namespace

std::string DescribeInstances(const replacement_state& state,
                              const group_health& group, time_point now) {
  std::string text;
  for (const instance_health& instance : group) {
    text += text.empty() ? "" : " ";
    text += DescribeInstance(state, instance, now);
  }
  return text;
}

void LogPhase(const std::string& pool, const replacement_state& state) {
  Log(log_level::kInfo, "replacement",
      {{"pool", pool},
       {"phase", std::string(PhaseName(state.phase))},
       {"cause", std::string(CauseName(state.cause))},
       {"primary", state.primary},
       {"term", std::to_string(state.term)},
       {"chosen", state.chosen},
       {"proof", std::string(ProofName(state.proof))}});
}

void LogChoice(const std::string& pool, const replacement_state& state,
               const group_health& group, time_point now) {
  const std::string positions = DescribeInstances(state, group, now);
  const std::string missing = DescribeMissing(state);
  Log(log_level::kInfo, "promotion_choice",
      {{"pool", pool},
       {"chosen", state.chosen},
       {"proof", std::string(ProofName(state.proof))},
       {"primary_had", state.stepped_down_position.has_value()
                           ? FormatPosition(*state.stepped_down_position)
                           : std::string("unknown")},
       {"acknowledged", FormatPosition(state.acknowledged)},
       {"fenced_ms", FormatMilliseconds(state.fenced_at, now)},
       {"list", IsListComplete(state) ? "complete" : "late"},
       {"list_age_ms", FormatMilliseconds(state.list_read_at, now)},
       {"positions", positions},
       {"missing", missing}});
  if (state.proof == choice_proof::kUnproved) {
    Log(log_level::kWarning, "promotion_unproved",
        {{"pool", pool}, {"positions", positions}, {"missing", missing}});
  }
}

void LogOrderEnd(const std::string& pool, const promotion_order& order,
                 const replacement_state& state, time_point now) {
  const duration age =
      std::chrono::duration_cast<duration>(now - order.sent_at);
  Log(log_level::kInfo, "promotion_ended",
      {{"pool", pool},
       {"target", order.instance},
       {"reason", std::string(OrderEndName(state.last_order_end))},
       {"after_ms", std::to_string(ToMilliseconds(age))}});
}

void LogIncompleteFence(const std::string& pool, const replacement_state& state,
                        const group_health& group, time_point now) {
  std::string unfenced;
  for (const std::string& id : ListUnfenced(state, group)) {
    unfenced += id + " ";
  }
  Log(log_level::kInfo, "fence_incomplete",
      {{"pool", pool},
       {"cause", std::string(CauseName(state.cause))},
       {"primary", state.primary},
       {"unfenced", unfenced},
       {"positions", DescribeInstances(state, group, now)}});
}

}  // namespace sassafraswick
