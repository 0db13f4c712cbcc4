#ifndef TEST_SASSAFRASWICK_FAILOVER_MODEL_TYPES_H_
#define TEST_SASSAFRASWICK_FAILOVER_MODEL_TYPES_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sassafraswick/config/catalog.h"
#include "sassafraswick/consistency/commit_proof.h"
#include "sassafraswick/consistency/primary_view.h"
#include "sassafraswick/failover/order_record.h"
#include "sassafraswick/failover/promotion_order.h"
#include "sassafraswick/failover/replacement.h"
#include "sassafraswick/fleet/address_owners.h"
#include "sassafraswick/gateway/order_memory.h"
#include "sassafraswick/gateway/registry.h"

/// @file
/// What the simulation consists of: instances, hosts and the store.

namespace promotion_model {

using sassafraswick::duration;
using sassafraswick::instance_status;
using sassafraswick::log_point;
using sassafraswick::primary_view;
using sassafraswick::replacement_action;
using sassafraswick::replacement_action_kind;
using sassafraswick::replacement_phase;
using sassafraswick::term_number;
using sassafraswick::time_point;
using std::chrono::milliseconds;

inline constexpr std::size_t kInstanceCount = 3;
/// Maximum time from a promotion call to its effect; the platform specifies 640
/// ms. The simulation draws shorter times too, since no guarantee may depend on
/// promotions being slow.
inline constexpr duration kMaxPromotionDelay = milliseconds(640);
/// Bounds of the additional delay of a late promotion.
inline constexpr duration kMinOrderLateness = milliseconds(1000);
inline constexpr duration kMaxOrderLateness = milliseconds(5000);
inline constexpr duration kTickInterval = milliseconds(50);
inline constexpr duration kStatusInterval = milliseconds(150);
inline constexpr duration kControlTimeout = milliseconds(400);
/// Time after which a host gives up on the response to an order.
inline constexpr duration kOrderTimeout = milliseconds(1500);
/// Time within which a caller gets the result of a statement.
inline constexpr duration kStatementTimeout = milliseconds(2000);
/// Delay before a proof is requested again after a failure. As in the product.
inline constexpr duration kProofRetryDelay = milliseconds(30);
inline constexpr duration kLeaseTtl = milliseconds(3000);
/// Time after which an old primary that can reach the new one joins it.
inline constexpr duration kOldPrimaryRejoinDelay = milliseconds(1000);
inline constexpr duration kMeanOperationInterval = milliseconds(15);
inline constexpr duration kMaxStaleness = milliseconds(1500);
/// Time after which the question to another host and its answer arrive. Not
/// drawn: other runs stay what they are.
inline constexpr duration kQuestionDelay = milliseconds(4);
/// Bounds of the delay of a late first entry.
inline constexpr duration kMinEntryLateness = milliseconds(1000);
inline constexpr duration kMaxEntryLateness = milliseconds(6000);
/// Part of a run in which no fault starts: 2.5 s at its start, the rest at its
/// end. A fault lasts up to 9 s. After it, a process that has left is awaited
/// for 10 s after its entry is gone.
inline constexpr duration kQuietPeriod = milliseconds(40'000);
/// Interval of an instance's heartbeats to the store.
inline constexpr duration kHeartbeatInterval = milliseconds(1200);
/// Silence after which the store removes an instance's entry.
inline constexpr duration kEntryLapse = kHeartbeatInterval * 3;
/// Longest time from an instance's start to its first entry.
inline constexpr duration kFirstEntryDelay = milliseconds(200);
/// Time for which hosts keep an instance whose entry is missing, and then one
/// that is not listed. As in the product.
inline constexpr duration kMissingRetention = milliseconds(2500);
inline constexpr duration kUnlistedRetention = milliseconds(10'000);
/// Idle time after which a host closes a scarce connection. As in the product.
inline constexpr duration kScarceIdleTimeout = milliseconds(300);
/// Delay of a watch of the store until a host knows that its list is current.
inline constexpr duration kWatchDelay = milliseconds(50);
/// Time before the end within which each host must have had a write
/// acknowledged.
inline constexpr duration kMaxTimeSinceWrite = milliseconds(2000);
/// Bounds of the check of a read: the number of most recent acknowledged writes
/// that it must contain, and the number of last log entries that are searched.
inline constexpr std::size_t kMaxWritesChecked = 100;
inline constexpr std::size_t kMaxLogEntriesChecked = 20'000;

/// One log entry. `number` is unique within a run, so that a discarded entry
/// differs from the entry that replaces it at its position.
struct log_entry {
  term_number term = 0;
  std::uint64_t number = 0;
};

struct instance {
  std::string id;
  bool running = true;
  bool is_primary = false;
  term_number term = 1;
  term_number paused_term = 0;
  std::vector<log_entry> log;
  /// Number of entries visible to readers; a replica applies entries later than
  /// it receives them.
  std::size_t applied = 0;
  std::uint64_t incarnation = 0;
  std::uint16_t address = 0;
  /// Distinguishes the processes that run under an identifier.
  std::int64_t start_id = 1;
  bool draining = false;
  /// The process has ended for good, and its log with it.
  bool is_gone = false;
  /// While it doesn't run, its port refuses connections.
  bool refuses = false;
  /// Whether the store has listed it.
  bool was_listed = false;

  [[nodiscard]] log_point LogEnd() const {
    return {term, static_cast<sassafraswick::log_position>(log.size())};
  }
};

/// A write that no replica has confirmed yet.
struct pending_write {
  log_entry written;
  std::size_t end = 0;
  term_number term = 0;
  std::uint64_t incarnation = 0;
  std::function<void(log_point)> acknowledge;
};

/// A host's connection to an instance. It ends with the process.
struct host_connection {
  const instance* process = nullptr;
  std::uint64_t incarnation = 0;
  time_point opened_at;
  time_point used_at;
};

/// What a host knows of an instance.
struct known_target {
  sassafraswick::target_record record;
  sassafraswick::instance_health health;
  std::optional<time_point> missing_since;
  time_point unlisted_at;
  time_point requested_at;
  time_point answered_at;
  host_connection connection;
  sassafraswick::process_contact contact;

  void RecordLeading(term_number term, time_point sent_at) {
    if (sent_at >= health.seen_since) {
      health.led_term = std::max(health.led_term, term);
    }
  }
};

/// The query of a group's instances for a proof of replication.
struct replication_check {
  /// Instances to ask and their processes; those that were witnesses by their
  /// last status come first.
  std::vector<sassafraswick::process_key> others;
  term_number term = 0;
  bool all_replicate = true;
  std::function<void(bool)> on_result;
};

/// An acknowledgement of the primary that waits to be passed on.
struct held_acknowledgement {
  std::string id;
  std::uint64_t number = 0;
  /// What was known of the primary when the write was sent.
  std::optional<log_point> known_before;
  term_number term = 0;
  time_point acknowledged_at;
  time_point deadline;
};

/// An instance's entry in the store.
struct list_entry {
  sassafraswick::target_record record;
  time_point written_at;
};

/// The entries as read from the store.
/// The group, which is the only one.
inline constexpr const char* kPool = "group";

struct list_copy {
  std::uint64_t version = 0;
  std::map<std::string, list_entry> entries;
};

struct host {
  std::string name;
  time_point paused_until;
  /// When this host last acknowledged a write.
  time_point last_write_at;
  primary_view view;
  std::optional<sassafraswick::replication_proof> replication;
  sassafraswick::host_registry registry;
  sassafraswick::held_lease lease;
  sassafraswick::store_era_tracker eras{true};
  bool registry_read_pending = false;
  sassafraswick::replacement_state replacement;
  bool is_watching = false;
  /// What it knows of orders without the store.
  sassafraswick::order_memory orders;
  /// What an earlier holder ordered, once that was read.
  std::optional<std::optional<sassafraswick::order_record>> earlier_order;
  /// Of the record of its last order; zero if unknown.
  std::int64_t order_revision = 0;
  /// Last known revision of any record; zero if there is none.
  std::int64_t known_order_revision = 0;
  std::uint64_t last_order_write = 0;
  bool registration_pending = false;
  bool renewal_pending = false;
  bool proof_pending = false;
  /// The next proof must be one of leadership.
  bool wants_leadership = false;
  std::map<std::string, known_target> targets;
  sassafraswick::address_owners owners;
  std::uint64_t list_version = 0;
  /// When the known list was last current.
  time_point list_current_at;
  /// Closes idle connections, as where they are scarce.
  bool closes_idle = false;
  bool list_notified = false;
  bool list_read_pending = false;
  time_point list_read_at;
  /// An instance behind it lacks a write that this host knows as acknowledged.
  log_point acknowledged;
  /// When other hosts were asked for theirs.
  time_point asked_at;
};

/// The write of the record of an order, by one or more attempts.
struct order_write {
  std::uint64_t id = 0;
  sassafraswick::order_record record;
  sassafraswick::store_revision claim;
  time_point order_sent_at;
  time_point until;
  bool has_ended = false;
  std::function<void(bool may_send)> on_done;
};

struct store_state {
  sassafraswick::store_era era = 1;
  bool down = false;
  bool leases_frozen = false;
  time_point down_since;
  std::uint64_t next_lease = 1;
  std::int64_t revision = 1;
  std::map<std::uint64_t, time_point> leases;
  /// The last order, if its record has not expired, and when it does.
  std::optional<sassafraswick::order_record> order;
  std::int64_t order_revision = 0;
  std::uint64_t order_writer = 0;
  time_point order_expires_at;
  std::string holder;
  std::int64_t holder_revision = 0;
  std::uint64_t holder_lease = 0;
};

/// The store as it was at a time.
struct store_copy {
  time_point made_at;
  store_state state;
};

/// Response of an instance to any request.
struct status_response {
  instance_status status;
  log_point position;
};

}  // namespace promotion_model

#endif  // TEST_SASSAFRASWICK_FAILOVER_MODEL_TYPES_H_
