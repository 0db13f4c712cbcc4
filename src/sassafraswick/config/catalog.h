#ifndef SASSAFRASWICK_CONFIG_CATALOG_H_
#define SASSAFRASWICK_CONFIG_CATALOG_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "sassafraswick/config/endpoint.h"
#include "sassafraswick/core/time.h"

/// @file
/// The configuration of deployments in which targets register themselves:
/// routes and pools, which refer to each other by name, and organisations with
/// their keys. Targets are not part of it, see `target_record`.

namespace sassafraswick {

/// Writes that a route's reads must observe.
enum class read_consistency : std::uint8_t {
  /// Every write acknowledged before the read.
  kPrimary,
  /// Every write acknowledged more than `max_staleness` before the read.
  kBoundedStaleness,
  /// The same, and all writes of the session.
  kReadYourWrites,
};

/// A database name that callers connect to.
struct catalog_route {
  std::string database;
  std::string pool;
  read_consistency consistency = read_consistency::kPrimary;
  /// Unused with `kPrimary`.
  duration max_staleness = duration::zero();
  duration statement_timeout = std::chrono::seconds(1);
  /// Latency objective of a whole operation.
  duration target_latency = std::chrono::milliseconds(200);
  /// Urgency of the route's operations; 0 is the most urgent.
  std::uint32_t priority = 1;
  /// Callers need no key.
  bool open = false;
};

/// A database group.
struct catalog_pool {
  std::string name;
  /// Connections that one instance accepts in total.
  std::uint32_t max_connections = 20;
  /// Replicas that must have received a write before it is acknowledged.
  std::uint32_t sync_replicas = 0;
};

/// A tenant with its fleet-wide limits.
struct catalog_organisation {
  std::string name;
  /// Operations per second over all hosts.
  std::uint32_t rate = 0;
  /// Operations that may be admitted at once after an idle period, over all
  /// hosts.
  std::uint32_t burst = 0;
};

/// One version of the catalog.
struct catalog {
  std::uint64_t version = 0;
  /// By database name.
  std::map<std::string, catalog_route, std::less<>> routes;
  std::map<std::string, catalog_pool, std::less<>> pools;
  std::map<std::string, catalog_organisation, std::less<>> organisations;
  /// Name of the organisation, by key.
  std::map<std::string, std::string, std::less<>> keys;
  /// Time after which an idle transaction may be aborted.
  duration transaction_idle_timeout = std::chrono::seconds(3);
  std::size_t max_statement_bytes = 262'144;
};

/// Outcome of looking up a caller.
enum class admission_verdict : std::uint8_t {
  kAdmitted,
  kUnknownDatabase,
  kNotAuthorised,
};

/// The route and organisation that apply to a caller.
struct catalog_admission {
  admission_verdict verdict = admission_verdict::kUnknownDatabase;
  catalog_route route;
  /// Empty on open routes.
  catalog_organisation organisation;
};

/// Looks up the database and key that a caller presents.
[[nodiscard]] catalog_admission AdmitCaller(const catalog& current,
                                            std::string_view database,
                                            std::string_view key);

/// A database instance's registration.
struct target_record {
  std::string id;
  std::string pool;
  endpoint address;
  std::string availability_zone;
  /// Statements that it runs concurrently.
  std::uint32_t slots = 1;
  /// The instance is about to stop.
  bool leaving = false;
  /// The instance considers itself its group's primary.
  bool claims_primary = false;
  /// Time until the instance has warmed up after its start.
  duration warmup_left = duration::zero();
  /// Distinguishes starts of an instance under the same identifier; zero if
  /// unknown.
  std::int64_t start_id = 0;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CONFIG_CATALOG_H_
