#include "sassafraswick/config/tables.h"

#include <algorithm>
#include <functional>
#include <set>

#include "sassafraswick/config/ini.h"

namespace sassafraswick {
namespace {

/// Upper bound of the connections and of the slots of a pool.
constexpr std::uint64_t kMaxConnections = 100'000;
/// Upper bound of the rate, in statements per second, and of the burst of an
/// organisation.
constexpr std::uint64_t kMaxRate = 100'000'000;
constexpr std::uint64_t kMaxWeight = 1000;
constexpr std::uint64_t kMaxPriority = 15;

/// The position of a key, for error messages.
struct key_location {
  const std::string& source;
  const std::string& section;
  const std::string& key;
};

error TableError(const key_location& location, const std::string& reason) {
  return MakeError(error_kind::kInvalidTable, location.source + ": [" +
                                                  location.section + "] " +
                                                  location.key + ": " + reason);
}

error UnknownKey(const key_location& location) {
  return TableError(location, "is not a known key");
}

result<std::uint32_t> NumberValue(const key_location& location,
                                  const std::string& text, std::uint64_t max,
                                  std::uint64_t min = 1) {
  const result<std::uint64_t> parsed = ParseNumber(text, min, max);
  if (!parsed) {
    return TableError(location, parsed.error().message);
  }
  return static_cast<std::uint32_t>(parsed.value());
}

result<bool> FlagValue(const key_location& location, const std::string& text) {
  const result<bool> parsed = ParseFlag(text);
  if (!parsed) {
    return TableError(location, parsed.error().message);
  }
  return parsed.value();
}

result<duration> DurationValue(const key_location& location,
                               const std::string& text) {
  const result<duration> parsed = ParseDuration(text);
  if (!parsed) {
    return TableError(location, parsed.error().message);
  }
  return parsed.value();
}

/// Parses `ADDRESS:PORT/ZONE` words.
result<std::vector<target>> TargetsValue(const key_location& location,
                                         const std::string& text) {
  std::vector<target> targets;
  for (const std::string& word : SplitWords(text)) {
    const std::size_t slash = word.find('/');
    if (slash == std::string::npos || slash + 1 == word.size()) {
      return TableError(location, "target '" + word +
                                      "' has no availability zone, such as "
                                      "10.0.0.1:5432/zone1");
    }
    const result<endpoint> address = ParseEndpoint(word.substr(0, slash));
    if (!address) {
      return TableError(location, address.error().message);
    }
    targets.push_back({address.value(), word.substr(slash + 1), false});
  }
  return targets;
}

result<void> MarkLeaving(const key_location& location, const std::string& text,
                         std::vector<target>& targets) {
  for (const std::string& word : SplitWords(text)) {
    const result<endpoint> address = ParseEndpoint(word);
    if (!address) {
      return TableError(location, address.error().message);
    }
    const auto found = std::find_if(
        targets.begin(), targets.end(), [&address](const target& candidate) {
          return candidate.address == address.value();
        });
    if (found == targets.end()) {
      return TableError(location, "'" + word + "' is not among the targets");
    }
    found->leaving = true;
  }
  return boost::outcome_v2::success();
}

result<pool> ParsePool(const std::string& source, const ini_section& section,
                       const std::string& name) {
  pool parsed;
  parsed.name = name;
  std::string leaving;
  for (const ini_entry& entry : section.entries) {
    const key_location location{source, section.name, entry.key};
    if (entry.key == "targets") {
      BOOST_OUTCOME_TRY(parsed.targets, TargetsValue(location, entry.value));
    } else if (entry.key == "leaving") {
      leaving = entry.value;
    } else if (entry.key == "user") {
      parsed.user = entry.value;
    } else if (entry.key == "password") {
      parsed.password = entry.value;
    } else if (entry.key == "database") {
      parsed.database = entry.value;
    } else if (entry.key == "connections") {
      BOOST_OUTCOME_TRY(parsed.connections,
                        NumberValue(location, entry.value, kMaxConnections));
    } else if (entry.key == "slots") {
      BOOST_OUTCOME_TRY(parsed.slots,
                        NumberValue(location, entry.value, kMaxConnections));
    } else {
      return UnknownKey(location);
    }
  }
  const std::string targets_key = "targets";
  if (parsed.targets.empty()) {
    return TableError({source, section.name, targets_key}, "names no target");
  }
  const std::string leaving_key = "leaving";
  BOOST_OUTCOME_TRY(MarkLeaving({source, section.name, leaving_key}, leaving,
                                parsed.targets));
  return parsed;
}

result<route> ParseRoute(const std::string& source, const ini_section& section,
                         const std::string& name) {
  route parsed;
  parsed.name = name;
  for (const ini_entry& entry : section.entries) {
    const key_location location{source, section.name, entry.key};
    if (entry.key == "pool") {
      parsed.pool = entry.value;
    } else if (entry.key == "open") {
      BOOST_OUTCOME_TRY(parsed.open, FlagValue(location, entry.value));
    } else if (entry.key == "max_staleness") {
      BOOST_OUTCOME_TRY(duration age, DurationValue(location, entry.value));
      parsed.max_staleness = age;
    } else if (entry.key == "deadline") {
      BOOST_OUTCOME_TRY(parsed.deadline, DurationValue(location, entry.value));
    } else if (entry.key == "priority") {
      BOOST_OUTCOME_TRY(parsed.priority,
                        NumberValue(location, entry.value, kMaxPriority, 0));
    } else if (entry.key == "organisations") {
      parsed.organisations = SplitWords(entry.value);
    } else {
      return UnknownKey(location);
    }
  }
  return parsed;
}

result<organisation> ParseOrganisation(const std::string& source,
                                       const ini_section& section,
                                       const std::string& name) {
  organisation parsed;
  parsed.name = name;
  for (const ini_entry& entry : section.entries) {
    const key_location location{source, section.name, entry.key};
    if (entry.key == "rate") {
      BOOST_OUTCOME_TRY(parsed.rate,
                        NumberValue(location, entry.value, kMaxRate));
    } else if (entry.key == "burst") {
      BOOST_OUTCOME_TRY(parsed.burst,
                        NumberValue(location, entry.value, kMaxRate));
    } else if (entry.key == "weight") {
      BOOST_OUTCOME_TRY(parsed.weight,
                        NumberValue(location, entry.value, kMaxWeight));
    } else {
      return UnknownKey(location);
    }
  }
  return parsed;
}

result<void> CheckReferences(const table_set& tables,
                             const std::string& source) {
  for (const std::pair<const std::string, route>& entry : tables.routes) {
    const std::string section = "route " + entry.first;
    const std::string pool_key = "pool";
    if (!tables.pools.contains(entry.second.pool)) {
      return TableError({source, section, pool_key},
                        "pool '" + entry.second.pool + "' does not exist");
    }
    const std::string organisations_key = "organisations";
    for (const std::string& name : entry.second.organisations) {
      if (!tables.organisations.contains(name)) {
        return TableError({source, section, organisations_key},
                          "organisation '" + name + "' does not exist");
      }
    }
  }
  return boost::outcome_v2::success();
}

template <typename Row>
void DiffRows(const std::string& kind,
              const std::map<std::string, Row, std::less<>>& before,
              const std::map<std::string, Row, std::less<>>& after,
              std::vector<std::string>& lines) {
  for (const std::pair<const std::string, Row>& entry : after) {
    const auto old = before.find(entry.first);
    if (old == before.end()) {
      lines.push_back("+ " + kind + " " + entry.first);
    } else if (!(old->second == entry.second)) {
      lines.push_back("~ " + kind + " " + entry.first);
    }
  }
  for (const std::pair<const std::string, Row>& entry : before) {
    if (!after.contains(entry.first)) {
      lines.push_back("- " + kind + " " + entry.first);
    }
  }
}

}  // namespace

result<table_set> ParseTables(std::string_view text,
                              const std::string& source) {
  BOOST_OUTCOME_TRY(std::vector<ini_section> sections, ParseIni(text, source));
  table_set tables;
  for (const ini_section& section : sections) {
    const std::vector<std::string> parts = SplitWords(section.name);
    if (parts.size() != 2) {
      return MakeError(error_kind::kInvalidTable,
                       source + ": section [" + section.name +
                           "] is not [route NAME], [pool NAME] or "
                           "[organisation NAME]");
    }
    const std::string& name = parts[1];
    if (parts[0] == "route") {
      BOOST_OUTCOME_TRY(tables.routes[name], ParseRoute(source, section, name));
    } else if (parts[0] == "pool") {
      BOOST_OUTCOME_TRY(tables.pools[name], ParsePool(source, section, name));
    } else if (parts[0] == "organisation") {
      BOOST_OUTCOME_TRY(tables.organisations[name],
                        ParseOrganisation(source, section, name));
    } else {
      return MakeError(error_kind::kInvalidTable,
                       source + ": section [" + section.name +
                           "] has an unknown kind '" + parts[0] + "'");
    }
  }
  BOOST_OUTCOME_TRY(CheckReferences(tables, source));
  return tables;
}

std::vector<std::string> DiffTables(const table_set& before,
                                    const table_set& after) {
  std::vector<std::string> lines;
  DiffRows("route", before.routes, after.routes, lines);
  DiffRows("pool", before.pools, after.pools, lines);
  DiffRows("organisation", before.organisations, after.organisations, lines);
  return lines;
}

}  // namespace sassafraswick
