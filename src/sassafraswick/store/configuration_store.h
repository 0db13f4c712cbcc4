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
/// Reads and changes the configuration in the platform's key-value store.

namespace sassafraswick {

/// Key of the current version.
inline constexpr std::string_view kConfigurationKey =
    "/sassafraswick/configuration";
/// Prefix of the keys of the history, which contains the latest versions,
/// including the current one.
inline constexpr std::string_view kHistoryPrefix = "/sassafraswick/history/";
/// Number of versions kept in the history.
inline constexpr std::uint64_t kMaxHistoryVersions = 1000;

/// A configuration and the revision of its record.
struct versioned_configuration {
  configuration value;
  std::int64_t revision = 0;
};

/// Reads the current version; version 0, the empty configuration, if none has
/// been stored.
boost::asio::awaitable<result<versioned_configuration>> ReadConfiguration(
    etcd_store& store);

/// Edits a configuration in place, or returns the reason why it cannot.
using configuration_edit = std::function<result<void>(configuration&)>;

/// Applies an edit by compare-and-swap.
///
/// If the store's response is lost, the outcome is determined by reading back:
/// the change was applied if and only if the history contains its change id.
/// @param expected Version that the edit applies to. If absent, the edit
/// applies to the current version and is retried after a concurrent change.
/// @return The resulting version; `kConflict` if another change was applied
/// first, `kUnavailable` if the outcome could not be determined.
boost::asio::awaitable<result<configuration>> ChangeConfiguration(
    etcd_store& store, std::string summary,
    std::optional<std::uint64_t> expected, configuration_edit edit);

/// Reads the history, oldest version first.
boost::asio::awaitable<result<std::vector<configuration>>> ReadHistory(
    etcd_store& store);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_STORE_CONFIGURATION_STORE_H_
