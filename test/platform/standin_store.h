#ifndef TEST_PLATFORM_STANDIN_STORE_H_
#define TEST_PLATFORM_STANDIN_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "sassafraswick/core/time.h"

/// @file
/// Stand-in for the platform's metadata store: keys, leases, watches.

namespace test_platform {

struct store_response {
  int status = 200;
  std::string body;
  /// Sent in the header `Store-Era`.
  std::uint64_t era = 1;
  /// The response does not arrive, and neither does any later one on its
  /// connection.
  bool lost = false;
};

/// Thread-safe; a watch request blocks until a change or its timeout.
class standin_store {
 public:
  /// Handles one HTTP request.
  /// @param target Path and query.
  [[nodiscard]] store_response HandleRequest(const std::string& method,
                                             const std::string& target,
                                             const std::string& body);

  /// Writes a key without a lease, as the operator or an instance does.
  void Put(const std::string& key, const std::string& value);
  void Delete(const std::string& key);

  /// Value of a key; empty if there is none.
  [[nodiscard]] std::string Value(const std::string& key);

  /// Number of watches that are waiting for a change.
  [[nodiscard]] std::size_t WaitingWatches();

  /// Keeps a copy of the store for `RestoreCopy`.
  void MakeCopy();
  /// Restores the store from the copy and begins a new era: later changes and
  /// leases are gone, and revisions and lease numbers are given out again.
  void RestoreCopy();

  /// While set, the response to every request is 503.
  void SetDown(bool down);
  /// While set, requests are not processed and all responses are lost.
  void SetSilent(bool silent);
  /// While set, transactions are processed and their responses lost.
  void LoseCommits(bool lost);
  /// Loses the response to each watch that waits now.
  void LoseWaitingWatches();
  void Stop();

 private:
  struct stored_item {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct lease {
    std::chrono::milliseconds ttl{0};
    sassafraswick::time_point expires_at;
  };
  /// What a copy of the store contains.
  struct store_copy {
    std::map<std::string, stored_item> items;
    std::map<std::uint64_t, lease> leases;
    std::int64_t revision = 1;
    std::uint64_t next_lease = 100;
  };
  struct event {
    std::int64_t revision = 0;
    std::string key;
    bool deleted = false;
    stored_item item;
  };

  store_response Respond(std::unique_lock<std::mutex>& lock,
                         const std::string& method, const std::string& target,
                         const std::string& body);
  store_response Range(const std::string& prefix);
  store_response Watch(std::unique_lock<std::mutex>& lock,
                       const std::string& prefix, std::int64_t after,
                       std::chrono::milliseconds wait);
  store_response Transact(const std::string& body);
  store_response GrantLease(const std::string& body);
  store_response KeepLease(std::uint64_t id);
  void Write(const std::string& key, const std::string& value,
             std::uint64_t lease_id);
  void Erase(const std::string& key);
  void ExpireLeases();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, stored_item> items_;
  std::vector<event> events_;
  std::map<std::uint64_t, lease> leases_;
  std::int64_t revision_ = 1;
  std::uint64_t next_lease_ = 100;
  std::uint64_t era_ = 1;
  store_copy copy_;
  std::size_t waiting_watches_ = 0;
  /// Counts the calls of `LoseWaitingWatches`.
  std::uint64_t watch_losses_ = 0;
  bool down_ = false;
  bool silent_ = false;
  bool loses_commits_ = false;
  bool stopped_ = false;
};

}  // namespace test_platform

#endif  // TEST_PLATFORM_STANDIN_STORE_H_
