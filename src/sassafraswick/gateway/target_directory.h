#ifndef SASSAFRASWICK_GATEWAY_TARGET_DIRECTORY_H_
#define SASSAFRASWICK_GATEWAY_TARGET_DIRECTORY_H_

#include <boost/asio/awaitable.hpp>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sassafraswick/core/log.h"
#include "sassafraswick/fleet/address_owners.h"
#include "sassafraswick/fleet/entry_return.h"
#include "sassafraswick/gateway/gateway_platform.h"
#include "sassafraswick/gateway/gateway_state.h"
#include "sassafraswick/gateway/shared_store.h"
#include "sassafraswick/net/async_event.h"

/// @file
/// Tracks the targets that registered themselves in the store.

namespace sassafraswick {

/// Time for which a target is kept after its entry disappeared from the store.
inline constexpr duration kMissingEntryRetention = kEntryReturnTime;

/// Time for which a target that has left is remembered, so that a copy of the
/// store does not list it again. Longer than the copy is old.
inline constexpr duration kDepartedRetention = std::chrono::seconds(60);

/// Applies changes of the target entries to the groups of this host.
template <gateway_platform Platform>
class target_directory {
 public:
  using codec = typename Platform::codec;

  explicit target_directory(gateway_state<codec>& gateway)
      : gateway_(gateway) {}

  /// Replaces the known entries by all entries of the store. Those that it no
  /// longer has are removed after `kMissingEntryRetention`. In a new era of the
  /// store, entries may be older than what this host knows: an instance that
  /// has left stays unlisted and one that is leaving stays so until its entry
  /// changes.
  void Load(const store_page& page, time_point now) {
    const bool is_copy = is_loaded_ && page.revision.era != era_;
    era_ = page.revision.era;
    std::map<std::string, target_record> missing = std::move(targets_);
    targets_.clear();
    for (const store_item& item : page.items) {
      const auto known = missing.find(item.key);
      if (known != missing.end()) {
        targets_[item.key] = known->second;
        missing.erase(known);
      }
      ApplyEntry(item, is_copy, now);
    }
    for (const std::pair<const std::string, target_record>& entry : missing) {
      targets_[entry.first] = entry.second;
      MarkMissing(entry.first, now);
    }
    is_loaded_ = true;
    UpdateHomes();
  }

  /// Applies changes of single entries.
  void ApplyChanges(const store_page& page, time_point now) {
    for (const store_item& item : page.items) {
      if (!item.deleted) {
        ApplyEntry(item, false, now);
      } else {
        MarkMissing(item.key, now);
      }
    }
    UpdateHomes();
  }

  /// Removes missing targets until the process ends.
  boost::asio::awaitable<void> RemoveMissing() {
    constexpr duration kInterval = std::chrono::milliseconds(200);
    while (true) {
      co_await Sleep(kInterval);
      RemoveMissing(monotonic_clock::now());
    }
  }

  /// Removes targets whose entries have been missing for
  /// `kMissingEntryRetention`.
  void RemoveMissing(time_point now) {
    for (auto each = missing_since_.begin(); each != missing_since_.end();) {
      if (now - each->second < kMissingEntryRetention) {
        ++each;
        continue;
      }
      Log(log_level::kInfo, "target_gone", {{"key", each->first}});
      const target_record& record = targets_[each->first];
      gateway_.RemoveTarget(record.id, each->second);
      departed_[each->first] = {record.start_id, now};
      owners_.Remove(record.id);
      targets_.erase(each->first);
      each = missing_since_.erase(each);
      UpdateHomes();
    }
    std::erase_if(
        departed_,
        [now](const std::pair<const std::string, departed_target>& each) {
          return now - each.second.at >= kDepartedRetention;
        });
  }

  [[nodiscard]] bool IsLoaded() const { return is_loaded_; }

 private:
  /// A target that has left.
  struct departed_target {
    std::int64_t start_id = 0;
    time_point at;
  };

  /// Tells the directory of homes which instances there are.
  void UpdateHomes() {
    std::vector<instance_location> instances;
    for (const std::pair<const std::string, target_record>& entry : targets_) {
      instances.push_back({entry.second.id, entry.second.availability_zone});
    }
    gateway_.homes.SetInstances(std::move(instances));
  }

  /// Starts the retention of a known target that the store no longer lists, or
  /// whose entry another writer has made unreadable.
  void MarkMissing(const std::string& key, time_point now) {
    if (targets_.contains(key)) {
      missing_since_.try_emplace(key, now);
    }
  }

  /// @param is_copy The entry may be older than what this host knows.
  void ApplyEntry(const store_item& item, bool is_copy, time_point now) {
    result<target_record> decoded =
        Platform::DecodeTarget(item.key, item.value);
    if (!decoded) {
      Log(log_level::kWarning, "target_entry_unreadable",
          {{"key", item.key}, {"reason", decoded.error().message}});
      MarkMissing(item.key, now);
      return;
    }
    target_record& record = decoded.value();
    if (is_copy && HasDeparted(item.key, record)) {
      Log(log_level::kInfo, "target_entry_outdated", {{"key", item.key}});
      return;
    }
    const auto known = targets_.find(item.key);
    if (is_copy && known != targets_.end() &&
        known->second.start_id == record.start_id) {
      record.leaving = record.leaving || known->second.leaving;
    }
    departed_.erase(item.key);
    missing_since_.erase(item.key);
    targets_[item.key] = record;
    gateway_.UpdateTarget(record);
    const std::optional<std::string> ended = owners_.Record(record);
    if (ended.has_value()) {
      gateway_.MarkTargetReplaced(*ended, record.id);
    }
    Log(log_level::kInfo, "target_entry",
        {{"target", record.id},
         {"pool", record.pool},
         {"address", FormatEndpoint(record.address)},
         {"start", std::to_string(record.start_id)},
         {"leaving", record.leaving ? "yes" : "no"},
         {"claims_primary", record.claims_primary ? "yes" : "no"}});
  }

  [[nodiscard]] bool HasDeparted(const std::string& key,
                                 const target_record& record) const {
    const auto found = departed_.find(key);
    return found != departed_.end() &&
           found->second.start_id == record.start_id;
  }

  gateway_state<codec>& gateway_;
  /// Every known entry, by key.
  std::map<std::string, target_record> targets_;
  address_owners owners_;
  /// Targets that have left, by key of their entry.
  std::map<std::string, departed_target> departed_;
  /// Keys of entries that disappeared, and when.
  std::map<std::string, time_point> missing_since_;
  store_era era_ = 0;
  bool is_loaded_ = false;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_TARGET_DIRECTORY_H_
