#ifndef SASSAFRASWICK_STORE_CONFIGURATION_STORE_H_
#define SASSAFRASWICK_STORE_CONFIGURATION_STORE_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "sassafraswick/config/configuration.h"
#include "sassafraswick/store/etcd_store.h"

/// @file
/// Reading and changing the configuration record.

namespace sassafraswick {

/// Key of the record in force.
inline constexpr std::string_view kConfigurationKey =
    "/sassafraswick/configuration";
/// Prefix of the records of former versions.
inline constexpr std::string_view kHistoryPrefix = "/sassafraswick/history/";
/// Former versions kept.
inline constexpr std::uint64_t kMaxHistoryVersions = 1000;

/// A version and the store's revision of it.
struct versioned_configuration {
  configuration value;
  std::int64_t revision = 0;
};

/// Reads the version in force; version 0 is the empty configuration.
boost::asio::awaitable<result<versioned_configuration>> ReadConfiguration(
    etcd_store& store);

/// Edits a configuration, or explains why it cannot.
using configuration_edit = std::function<result<void>(configuration&)>;

/// Applies an edit by compare-and-swap.
///
/// A lost answer is resolved by reading back: the change took effect exactly
/// when the record, or its history, carries the change id.
/// @param expected Version the edit is meant for; nothing edits whatever is in
/// force and repeats after losing a race.
/// @return The version that the edit became; `kConflict` if another change came
/// first, `kUnavailable` if the store did not say which.
boost::asio::awaitable<result<configuration>> ChangeConfiguration(
    etcd_store& store, std::string summary,
    std::optional<std::uint64_t> expected, configuration_edit edit);

/// Lists former versions, oldest first.
boost::asio::awaitable<result<std::vector<configuration>>> ReadHistory(
    etcd_store& store);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_STORE_CONFIGURATION_STORE_H_
