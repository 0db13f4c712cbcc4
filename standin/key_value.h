#ifndef STANDIN_KEY_VALUE_H_
#define STANDIN_KEY_VALUE_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sassafraswick/core/time.h"

/// @file
/// In-memory key-value store with revisions and leases, modelled on etcd v3's
/// JSON API.

namespace standin {

/// A stored value and its revisions.
struct stored_value {
  std::string value;
  std::int64_t create_revision = 0;
  std::int64_t mod_revision = 0;
  std::int64_t version = 0;
  std::int64_t lease = 0;
};

/// A change, as reported to watches.
struct stored_event {
  std::int64_t revision = 0;
  std::string key;
  /// Empty for a deletion.
  std::optional<stored_value> value;
};

/// The store. Requests and responses are the JSON objects of etcd's API.
class key_value_store {
 public:
  [[nodiscard]] boost::json::object Range(
      const boost::json::object& request) const;
  [[nodiscard]] boost::json::object Transact(
      const boost::json::object& request);
  [[nodiscard]] boost::json::object GrantLease(
      const boost::json::object& request, sassafraswick::time_point now);
  [[nodiscard]] boost::json::object KeepAlive(
      const boost::json::object& request, sassafraswick::time_point now);
  [[nodiscard]] boost::json::object RevokeLease(
      const boost::json::object& request);

  /// Removes expired leases and their keys.
  void ExpireLeases(sassafraswick::time_point now);

  /// Returns the changes of a key at or after a revision.
  [[nodiscard]] std::vector<stored_event> EventsSince(
      const std::string& key, std::int64_t revision) const;

  [[nodiscard]] std::int64_t Revision() const noexcept { return revision_; }

 private:
  struct lease {
    std::chrono::seconds ttl{0};
    sassafraswick::time_point expires_at;
  };

  [[nodiscard]] bool ComparisonHolds(
      const boost::json::object& comparison) const;
  boost::json::object Apply(const boost::json::object& operation);
  void Put(const std::string& key, std::string value, std::int64_t lease_id);
  bool Erase(const std::string& key);
  void RemoveLease(std::int64_t id);

  std::map<std::string, stored_value> values_;
  std::map<std::int64_t, lease> leases_;
  std::vector<stored_event> events_;
  std::int64_t revision_ = 1;
  std::int64_t next_lease_ = 1000;
};

/// Encodes a key and its value in etcd's JSON format.
[[nodiscard]] boost::json::object EncodeKeyValue(const std::string& key,
                                                 const stored_value& value);

}  // namespace standin

#endif  // STANDIN_KEY_VALUE_H_
