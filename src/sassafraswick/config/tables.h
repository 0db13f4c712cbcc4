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
/// The operators' tables: routes, pools and organisations, joined by names.

namespace sassafraswick {

/// One instance of a database group.
struct target {
  endpoint address;
  std::string availability_zone;
  /// Gets no new work.
  bool leaving = false;

  friend bool operator==(const target&, const target&) = default;
};

/// A database group and the credentials used towards it.
struct pool {
  std::string name;
  std::vector<target> targets;
  std::string user;
  std::string password;
  std::string database;
  /// Connections that one instance accepts from the whole fleet.
  std::uint32_t connections = 20;
  /// Statements that one instance runs at a time.
  std::uint32_t slots = 3;

  friend bool operator==(const pool&, const pool&) = default;
};

/// A service name that callers connect to.
struct route {
  std::string name;
  std::string pool;
  /// Needs no key.
  bool open = false;
  /// Age that reads without a token accept; none sends them to the primary.
  std::optional<duration> max_staleness;
  /// Time within which a statement must have been started.
  duration deadline = std::chrono::seconds(5);
  /// Organisations admitted; empty admits all.
  std::vector<std::string> organisations;

  friend bool operator==(const route&, const route&) = default;
};

/// A tenant with its fleet-wide limits.
struct organisation {
  std::string name;
  /// Statements a second over all hosts together.
  std::uint32_t rate = 1000;
  /// Statements that may be admitted at once after a rest.
  std::uint32_t burst = 1000;
  /// Share of scarce slots relative to others.
  std::uint32_t weight = 1;

  friend bool operator==(const organisation&, const organisation&) = default;
};

/// All tables of one configuration version, by name.
struct table_set {
  std::map<std::string, route, std::less<>> routes;
  std::map<std::string, pool, std::less<>> pools;
  std::map<std::string, organisation, std::less<>> organisations;

  friend bool operator==(const table_set&, const table_set&) = default;
};

/// Parses and checks the tables.
/// @param text INI text with `[route NAME]`, `[pool NAME]` and
/// `[organisation NAME]` sections.
/// @param source Name used in error texts.
/// @return The tables, or `error_kind::kInvalidTable` naming section and key.
[[nodiscard]] result<table_set> ParseTables(std::string_view text,
                                            const std::string& source);

/// Lists changes between two table sets, one line each. Pool passwords are not
/// shown.
[[nodiscard]] std::vector<std::string> DiffTables(const table_set& before,
                                                  const table_set& after);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CONFIG_TABLES_H_
