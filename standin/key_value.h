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
/// Key-value service with revisions and leases, after etcd v3's JSON API.

namespace standin {

/// One stored value and its revisions.
struct stored_value {
  std::string value;
  std::int64_t create_revision = 0;
  std::int64_t mod_revision = 0;
  std::int64_t version = 0;
  std::int64_t lease = 0;
};

/// One change, for watches.
struct stored_event {
  std::int64_t revision = 0;
  std::string key;
  /// Nothing stands for a deletion.
  std::optional<stored_value> value;
};

/// The service's state; requests and answers are etcd's JSON objects.
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

  /// Deletes the keys of leases that have run out.
  void ExpireLeases(sassafraswick::time_point now);

  /// Events of one key at or after a revision.
  [[nodiscard]] std::vector<stored_event> EventsSince(
      const std::string& key, std::int64_t revision) const;

  [[nodiscard]] std::int64_t Revision() const noexcept { return revision_; }

 private:
  struct lease {
    std::chrono::seconds time_to_live{0};
    sassafraswick::time_point expires;
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

/// Encodes one key and its value as etcd does.
[[nodiscard]] boost::json::object EncodeKeyValue(const std::string& key,
                                                 const stored_value& value);

}  // namespace standin

#endif  // STANDIN_KEY_VALUE_H_
