#include "sassafraswick/store/configuration_store.h"

#include <algorithm>

#include "sassafraswick/net/async_event.h"

namespace sassafraswick {
namespace {

namespace asio = boost::asio;

constexpr int kMaxChangeAttempts = 8;
constexpr duration kRetryDelay = std::chrono::milliseconds(250);
constexpr std::size_t kVersionDigits = 20;

/// Pads the version with zeros, so that the keys sort by version.
std::string HistoryKey(std::uint64_t version) {
  std::string digits = std::to_string(version);
  digits.insert(0, kVersionDigits - digits.size(), '0');
  return std::string(kHistoryPrefix) + digits;
}

conditional_write MakeWrite(const configuration& next, std::int64_t revision) {
  const std::string encoded = SerializeConfiguration(next);
  conditional_write write{std::string(kConfigurationKey),
                          revision,
                          {{std::string(kConfigurationKey), encoded},
                           {HistoryKey(next.version), encoded}}};
  if (next.version > kMaxHistoryVersions) {
    write.writes.push_back(
        {HistoryKey(next.version - kMaxHistoryVersions), std::nullopt});
  }
  return write;
}

/// Determines whether a change was applied whose response was lost.
asio::awaitable<result<bool>> WasApplied(etcd_store& store,
                                         const configuration& next) {
  const result<std::optional<stored_record>> record =
      co_await store.Get(HistoryKey(next.version));
  if (!record) {
    co_return record.error();
  }
  if (!record.value().has_value()) {
    co_return false;
  }
  const result<configuration> stored =
      ParseConfiguration(record.value()->value);
  co_return stored.has_value() && stored.value().change_id == next.change_id;
}

/// Determines the outcome of a change whose response was lost. Retries while
/// the store is unavailable.
asio::awaitable<result<bool>> ResolveLostResponse(etcd_store& store,
                                                  const configuration& next) {
  result<bool> outcome = false;
  for (int i = 0; i < kMaxChangeAttempts; ++i) {
    outcome = co_await WasApplied(store, next);
    if (outcome) {
      break;
    }
    co_await Sleep(kRetryDelay);
  }
  co_return outcome;
}

}  // namespace

asio::awaitable<result<versioned_configuration>> ReadConfiguration(
    etcd_store& store) {
  const result<std::optional<stored_record>> record =
      co_await store.Get(std::string(kConfigurationKey));
  if (!record) {
    co_return record.error();
  }
  if (!record.value().has_value()) {
    co_return versioned_configuration();
  }
  result<configuration> parsed = ParseConfiguration(record.value()->value);
  if (!parsed) {
    co_return parsed.error();
  }
  co_return versioned_configuration{std::move(parsed.value()),
                                    record.value()->revision};
}

asio::awaitable<result<configuration>> ChangeConfiguration(
    etcd_store& store, std::string summary,
    std::optional<std::uint64_t> expected, configuration_edit edit) {
  const std::string change_id = RandomId();
  std::optional<configuration> last_attempt;
  for (int i = 0; i < kMaxChangeAttempts; ++i) {
    if (last_attempt.has_value()) {
      const result<bool> applied = co_await WasApplied(store, *last_attempt);
      if (applied && applied.value()) {
        co_return *last_attempt;
      }
    }
    result<versioned_configuration> current = co_await ReadConfiguration(store);
    if (!current) {
      co_return current.error();
    }
    configuration next = std::move(current.value().value);
    if (expected.has_value() && next.version != *expected) {
      co_return MakeError(error_kind::kConflict,
                          "configuration is at version " +
                              std::to_string(next.version) + ", not " +
                              std::to_string(*expected) +
                              ": another operator changed it");
    }
    const result<void> edited = edit(next);
    if (!edited) {
      co_return edited.error();
    }
    ++next.version;
    next.change_id = change_id;
    next.summary = summary;
    last_attempt = next;
    result<bool> written =
        co_await store.Write(MakeWrite(next, current.value().revision));
    if (!written) {
      written = co_await ResolveLostResponse(store, next);
    }
    if (!written) {
      co_return MakeError(error_kind::kUnavailable,
                          "change " + change_id +
                              " may or may not have been "
                              "applied: " +
                              written.error().message);
    }
    if (written.value()) {
      co_return next;
    }
  }
  co_return MakeError(error_kind::kConflict,
                      "no attempt to apply the change succeeded; the "
                      "configuration may be changing concurrently");
}

asio::awaitable<result<std::vector<configuration>>> ReadHistory(
    etcd_store& store) {
  const result<std::vector<stored_record>> records =
      co_await store.List(std::string(kHistoryPrefix));
  if (!records) {
    co_return records.error();
  }
  std::vector<configuration> versions;
  for (const stored_record& record : records.value()) {
    result<configuration> parsed = ParseConfiguration(record.value);
    if (!parsed) {
      co_return parsed.error();
    }
    versions.push_back(std::move(parsed.value()));
  }
  co_return versions;
}

}  // namespace sassafraswick
