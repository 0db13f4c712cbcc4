#ifndef TEST_PLATFORM_STANDIN_GROUP_PROCESSES_H_
#define TEST_PLATFORM_STANDIN_GROUP_PROCESSES_H_

#include <algorithm>
#include <chrono>

#include "test/platform/standin_group.h"

/// @file
/// Starts of a stand-in group's instances, and who leads which term. Included
/// by `standin_group.cc` only, which programs outside this build compile, too.

namespace test_platform {

using sassafraswick::monotonic_clock;

std::int64_t standin_group::NextBorn() {
  const std::int64_t now =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  last_born_ = std::max(now, last_born_ + 1);
  ++starts_;
  return last_born_;
}

void standin_group::JoinNewPrimary(group_instance& instance) {
  for (const group_instance& new_primary : instances_) {
    if (new_primary.primary && new_primary.running &&
        new_primary.term > instance.term) {
      instance.primary = false;
      instance.paused_term = 0;
      instance.term = new_primary.term;
      instance.log = new_primary.log;
      instance.visible_as_primary =
          std::min(instance.visible_as_primary, instance.log.size());
    }
  }
}

void standin_group::StepDownIfDue(group_instance& instance) {
  if (instance.steps_down_at.has_value() &&
      monotonic_clock::now() >= *instance.steps_down_at) {
    JoinNewPrimary(instance);
    if (!instance.primary) {
      instance.steps_down_at.reset();
    }
    changed_.notify_all();
  }
}

bool standin_group::IsRunning(const std::string& id) {
  return RunningSince(id).has_value();
}

std::optional<std::int64_t> standin_group::RunningSince(const std::string& id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const group_instance& each : instances_) {
    if (each.id == id && each.running) {
      return each.born;
    }
  }
  return std::nullopt;
}

instance_process standin_group::Process(std::size_t index) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const group_instance& instance = instances_.at(index);
  return {instance.id, instance.born, instance.primary, instance.running};
}

bool standin_group::Restart(std::size_t index, instance_start start) {
  const std::lock_guard<std::mutex> lock(mutex_);
  group_instance& instance = instances_.at(index);
  if (instance.running) {
    return false;
  }
  instance.born = NextBorn();
  instance.running = true;
  instance.paused_term = 0;
  instance.steps_down_at.reset();
  if (start == instance_start::kNewId) {
    instance.id =
        name_ + "-" + std::to_string(index) + "-" + std::to_string(starts_);
  }
  if (start == instance_start::kEmpty) {
    instance.primary = false;
    instance.log.clear();
    instance.visible_as_primary = 0;
  }
  const bool is_replaced = std::any_of(
      instances_.begin(), instances_.end(),
      [&](const group_instance& other) { return other.term > instance.term; });
  if (instance.primary && is_replaced) {
    instance.primary = false;
    instance.visible_as_primary = instance.log.size();
  }
  for (group_instance& each : instances_) {
    const bool receives =
        each.running && !each.primary && each.paused_term == 0;
    if (receives) {
      JoinNewPrimary(each);
    }
  }
  changed_.notify_all();
  return true;
}

bool standin_group::Promote(const std::string& id, std::int64_t born) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto successor =
      std::find_if(instances_.begin(), instances_.end(),
                   [&id](const group_instance& each) { return each.id == id; });
  if (successor == instances_.end() || !successor->running ||
      successor->born != born) {
    return false;
  }
  if (successor->primary) {
    return true;
  }
  std::uint64_t term = 0;
  for (const group_instance& each : instances_) {
    term = std::max(term, each.term);
  }
  for (group_instance& each : instances_) {
    if (each.running && each.primary) {
      constexpr std::chrono::milliseconds kStepDownDelay(1000);
      each.steps_down_at = monotonic_clock::now() + kStepDownDelay;
    } else if (each.running) {
      each.paused_term = 0;
      each.term = term + 1;
      each.log = successor->log;
    }
  }
  successor->primary = true;
  successor->steps_down_at.reset();
  changed_.notify_all();
  return true;
}

bool standin_group::Promote(const std::string& id) {
  const std::optional<std::int64_t> born = RunningSince(id);
  return born.has_value() && Promote(id, *born);
}

std::size_t standin_group::PrimaryIndex() {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::size_t best = 0;
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    const bool newer =
        !instances_[best].primary || instances_[i].term > instances_[best].term;
    best = instances_[i].primary && newer ? i : best;
  }
  return best;
}

}  // namespace test_platform

#endif  // TEST_PLATFORM_STANDIN_GROUP_PROCESSES_H_
