#ifndef SASSAFRASWICK_CONFIG_TABLES_H_
#define SASSAFRASWICK_CONFIG_TABLES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sassafraswick/config/endpoint.h"
#include "sassafraswick/core/error.h"
#include "sassafraswick/core/time.h"

/// @file
/// The operators' tables: routes, pools and organisations, which refer to each
/// other by name.

namespace sassafraswick {

/// One instance of a database group.
struct target {
  endpoint address;
  std::string availability_zone;
  /// Receives no new statements.
  bool leaving = false;

  friend bool operator==(const target&, const target&) = default;
};

/// A database group and the credentials for connecting to it.
struct pool {
  std::string name;
  std::vector<target> targets;
  std::string user;
  std::string password;
  std::string database;
  /// Connections that one instance accepts from the whole fleet.
  std::uint32_t connections = 20;
  /// Statements that one instance runs concurrently.
  std::uint32_t slots = 3;

  friend bool operator==(const pool&, const pool&) = default;
};

/// A service name that callers connect to.
struct route {
  static constexpr std::uint32_t kDefaultPriority = 1;

  std::string name;
  std::string pool;
  /// Callers need no key.
  bool open = false;
  /// Staleness that reads without a token accept; if absent, they run on the
  /// primary.
  std::optional<duration> max_staleness;
  /// Time within which a statement must have been started.
  duration deadline = std::chrono::seconds(5);
  /// Urgency; 0 is the most urgent.
  std::uint32_t priority = kDefaultPriority;
  /// Organisations admitted; if empty, all.
  std::vector<std::string> organisations;

  friend bool operator==(const route&, const route&) = default;
};

/// A tenant with its fleet-wide limits.
struct organisation {
  std::string name;
  /// Statements per second over all hosts.
  std::uint32_t rate = 1000;
  /// Statements that may be admitted at once after an idle period.
  std::uint32_t burst = 1000;
  /// Relative share of the slots when they are contended.
  std::uint32_t weight = 1;

  friend bool operator==(const organisation&, const organisation&) = default;
};

/// All tables of one configuration version, with rows by name.
struct table_set {
  std::map<std::string, route, std::less<>> routes;
  std::map<std::string, pool, std::less<>> pools;
  std::map<std::string, organisation, std::less<>> organisations;

  friend bool operator==(const table_set&, const table_set&) = default;
};

/// Parses and validates the tables.
/// @param text INI text with `[route NAME]`, `[pool NAME]` and
/// `[organisation NAME]` sections.
/// @param source Name of the text's origin for error messages.
/// @return The tables, or `error_kind::kInvalidTable` with the section and key.
[[nodiscard]] result<table_set> ParseTables(std::string_view text,
                                            const std::string& source);

/// Lists the added, changed and removed rows, one line each, without their
/// content: pool passwords must not be shown.
[[nodiscard]] std::vector<std::string> DiffTables(const table_set& before,
                                                  const table_set& after);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CONFIG_TABLES_H_
