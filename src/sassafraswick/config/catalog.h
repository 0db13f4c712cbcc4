#ifndef SASSAFRASWICK_CONFIG_CATALOG_H_
#define SASSAFRASWICK_CONFIG_CATALOG_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "sassafraswick/config/endpoint.h"
#include "sassafraswick/core/time.h"

/// @file
/// One version of what operators decide where targets register themselves:
/// routes and pools joined by names, organisations and their keys. Targets are
/// not part of it, see `target_record`.

namespace sassafraswick {

/// How fresh a route's reads must be.
enum class read_consistency : std::uint8_t {
  /// Every write acknowledged before the read.
  kPrimary,
  /// Every write acknowledged longer ago than the route's age.
  kBoundedStaleness,
  /// The same, and the session's own writes.
  kReadYourWrites,
};

/// A database name that callers connect to.
struct catalog_route {
  std::string database;
  std::string pool;
  read_consistency consistency = read_consistency::kPrimary;
  /// Age that reads accept; unused on `kPrimary`.
  duration max_staleness = duration::zero();
  /// Limit of one statement.
  duration statement_timeout = std::chrono::seconds(1);
  /// Time within which a whole operation is worth most.
  duration target_latency = std::chrono::milliseconds(200);
  /// Needs no key.
  bool open = false;
};

/// A database group.
struct catalog_pool {
  std::string name;
  /// Connections that one instance accepts from all callers together.
  std::uint32_t max_connections = 20;
  /// Replicas that must have received a write before it is acknowledged.
  std::uint32_t sync_replicas = 0;
};

/// A tenant with its fleet-wide limits.
struct catalog_organisation {
  std::string name;
  /// Operations a second, and at once after a rest, over all hosts.
  std::uint32_t rate = 0;
  std::uint32_t burst = 0;
};

/// One version.
struct catalog {
  std::uint64_t version = 0;
  /// By database name.
  std::map<std::string, catalog_route, std::less<>> routes;
  std::map<std::string, catalog_pool, std::less<>> pools;
  std::map<std::string, catalog_organisation, std::less<>> organisations;
  /// Name of the organisation, by key.
  std::map<std::string, std::string, std::less<>> keys;
  /// Time after which a transaction at rest may be ended.
  duration transaction_idle = std::chrono::seconds(3);
  /// Largest statement, in bytes.
  std::size_t max_statement = 262'144;
};

/// Outcome of looking a caller up.
enum class admission_verdict : std::uint8_t {
  kAdmitted,
  kUnknownDatabase,
  kNotAuthorised,
};

/// A caller as the catalog knows it.
struct catalog_admission {
  admission_verdict verdict = admission_verdict::kUnknownDatabase;
  catalog_route route;
  /// Empty on open routes.
  catalog_organisation organisation;
};

/// Looks up the database and key that a caller shows.
[[nodiscard]] catalog_admission AdmitCaller(const catalog& version,
                                            std::string_view database,
                                            std::string_view key);

/// An instance as it registered itself.
struct target_record {
  std::string id;
  std::string pool;
  endpoint address;
  std::string availability_zone;
  /// Statements that it runs at a time.
  std::uint32_t slots = 1;
  /// Is about to stop.
  bool leaving = false;
  /// Believes that it leads its group.
  bool claims_primary = false;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CONFIG_CATALOG_H_
