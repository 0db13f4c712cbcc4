#ifndef SASSAFRASWICK_GATEWAY_TARGET_DIRECTORY_H_
#define SASSAFRASWICK_GATEWAY_TARGET_DIRECTORY_H_

#include <boost/asio/awaitable.hpp>
#include <map>
#include <string>
#include <utility>

#include "sassafraswick/core/log.h"
#include "sassafraswick/gateway/gateway_platform.h"
#include "sassafraswick/gateway/gateway_state.h"
#include "sassafraswick/gateway/shared_store.h"
#include "sassafraswick/net/async_event.h"

/// @file
/// Tracks the targets that registered themselves in the store.

namespace sassafraswick {

/// Time for which a target is kept after its entry disappeared from the store.
/// Entries that expired during an outage of the store are back within two
/// seconds of its return.
inline constexpr duration kMissingEntryRetention =
    std::chrono::milliseconds(2500);

/// Applies changes of the target entries to the groups of this host.
template <gateway_platform Platform>
class target_directory {
 public:
  using codec = typename Platform::codec;

  explicit target_directory(gateway_state<codec>& gateway)
      : gateway_(gateway) {}

  /// Replaces the known entries by all entries of the store. Those that it no
  /// longer has are removed after `kMissingEntryRetention`.
  void Load(const store_page& page) {
    std::map<std::string, std::string> missing = std::move(targets_);
    targets_.clear();
    for (const store_item& item : page.items) {
      missing.erase(item.key);
      ApplyEntry(item);
    }
    for (const std::pair<const std::string, std::string>& entry : missing) {
      targets_[entry.first] = entry.second;
      missing_since_[entry.first] = monotonic_clock::now();
    }
    is_loaded_ = true;
  }

  /// Applies changes of single entries.
  void ApplyChanges(const store_page& page) {
    for (const store_item& item : page.items) {
      if (!item.deleted) {
        ApplyEntry(item);
      } else if (targets_.contains(item.key)) {
        missing_since_[item.key] = monotonic_clock::now();
      }
    }
  }

  /// Removes targets whose entries have been missing for longer than
  /// `kMissingEntryRetention`. Runs until the process ends.
  boost::asio::awaitable<void> RemoveMissing() {
    constexpr duration kInterval = std::chrono::milliseconds(200);
    while (true) {
      co_await Sleep(kInterval);
      const time_point now = monotonic_clock::now();
      for (auto each = missing_since_.begin(); each != missing_since_.end();) {
        if (now - each->second < kMissingEntryRetention) {
          ++each;
          continue;
        }
        Log(log_level::kInfo, "target_gone", {{"key", each->first}});
        gateway_.RemoveTarget(targets_[each->first]);
        targets_.erase(each->first);
        each = missing_since_.erase(each);
      }
    }
  }

  [[nodiscard]] bool IsLoaded() const { return is_loaded_; }

 private:
  void ApplyEntry(const store_item& item) {
    const result<target_record> record =
        Platform::DecodeTarget(item.key, item.value);
    if (!record) {
      Log(log_level::kWarning, "target_entry_unreadable",
          {{"key", item.key}, {"reason", record.error().message}});
      return;
    }
    missing_since_.erase(item.key);
    targets_[item.key] = record.value().id;
    gateway_.UpdateTarget(record.value());
    Log(log_level::kInfo, "target_entry",
        {{"target", record.value().id},
         {"pool", record.value().pool},
         {"leaving", record.value().leaving ? "yes" : "no"},
         {"claims_primary", record.value().claims_primary ? "yes" : "no"}});
  }

  gateway_state<codec>& gateway_;
  /// Target identifier of every known entry, by key.
  std::map<std::string, std::string> targets_;
  /// Keys of entries that disappeared, and when.
  std::map<std::string, time_point> missing_since_;
  bool is_loaded_ = false;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_TARGET_DIRECTORY_H_
