#include "standin/key_value.h"

#include <boost/json/array.hpp>
#include <boost/json/value_to.hpp>
#include <cstdlib>

#include "sassafraswick/store/base64.h"

namespace standin {
namespace {

namespace json = boost::json;
using sassafraswick::DecodeBase64;
using sassafraswick::EncodeBase64;

/// Reads an integer field, which clients of etcd send as a string or a number.
std::int64_t IntegerField(const json::object& object, std::string_view name) {
  const json::value* const found = object.if_contains(name);
  if (found == nullptr) {
    return 0;
  }
  if (found->is_string()) {
    return std::strtoll(found->as_string().c_str(), nullptr, 10);
  }
  return found->is_number() ? found->to_number<std::int64_t>() : 0;
}

std::string BytesField(const json::object& object, std::string_view name) {
  const json::value* const found = object.if_contains(name);
  if (found == nullptr || !found->is_string()) {
    return "";
  }
  return DecodeBase64(std::string(found->as_string()));
}

std::string StringField(const json::object& object, std::string_view name) {
  const json::value* const found = object.if_contains(name);
  return found != nullptr && found->is_string()
             ? std::string(found->as_string())
             : std::string();
}

json::object Header(std::int64_t revision) {
  return {{"revision", std::to_string(revision)}};
}

bool Compare(std::int64_t actual, std::int64_t expected,
             const std::string& relation) {
  if (relation == "GREATER") {
    return actual > expected;
  }
  if (relation == "LESS") {
    return actual < expected;
  }
  return relation == "NOT_EQUAL" ? actual != expected : actual == expected;
}

}  // namespace

json::object EncodeKeyValue(const std::string& key, const stored_value& value) {
  return {{"key", EncodeBase64(key)},
          {"value", EncodeBase64(value.value)},
          {"create_revision", std::to_string(value.create_revision)},
          {"mod_revision", std::to_string(value.mod_revision)},
          {"version", std::to_string(value.version)},
          {"lease", std::to_string(value.lease)}};
}

json::object key_value_store::Range(const json::object& request) const {
  const std::string key = BytesField(request, "key");
  const std::string end = BytesField(request, "range_end");
  json::array found;
  auto position = values_.lower_bound(key);
  while (position != values_.end() &&
         (end.empty() ? position->first == key : position->first < end)) {
    found.push_back(EncodeKeyValue(position->first, position->second));
    ++position;
  }
  const std::string count = std::to_string(found.size());
  return {{"header", Header(revision_)},
          {"kvs", std::move(found)},
          {"count", count}};
}

bool key_value_store::ComparisonHolds(const json::object& comparison) const {
  const auto found = values_.find(BytesField(comparison, "key"));
  const stored_value value =
      found == values_.end() ? stored_value() : found->second;
  const std::string target = StringField(comparison, "target");
  const std::string relation = StringField(comparison, "result");
  if (target == "VALUE") {
    const bool equal = value.value == BytesField(comparison, "value");
    return relation == "NOT_EQUAL" ? !equal : equal;
  }
  if (target == "CREATE") {
    return Compare(value.create_revision,
                   IntegerField(comparison, "create_revision"), relation);
  }
  if (target == "VERSION") {
    return Compare(value.version, IntegerField(comparison, "version"),
                   relation);
  }
  return Compare(value.mod_revision, IntegerField(comparison, "mod_revision"),
                 relation);
}

json::object key_value_store::Apply(const json::object& operation) {
  if (const json::value* put = operation.if_contains("request_put")) {
    const json::object& request = put->as_object();
    Put(BytesField(request, "key"), BytesField(request, "value"),
        IntegerField(request, "lease"));
    return {{"response_put", json::object{}}};
  }
  if (const json::value* erase =
          operation.if_contains("request_delete_range")) {
    const bool erased = Erase(BytesField(erase->as_object(), "key"));
    return {{"response_delete_range",
             json::object{{"deleted", erased ? "1" : "0"}}}};
  }
  if (const json::value* range = operation.if_contains("request_range")) {
    return {{"response_range", Range(range->as_object())}};
  }
  return {};
}

json::object key_value_store::Transact(const json::object& request) {
  bool succeeded = true;
  if (const json::value* compare = request.if_contains("compare")) {
    for (const json::value& each : compare->as_array()) {
      succeeded = succeeded && ComparisonHolds(each.as_object());
    }
  }
  const json::value* const branch =
      request.if_contains(succeeded ? "success" : "failure");
  json::array responses;
  if (branch != nullptr) {
    ++revision_;
    for (const json::value& each : branch->as_array()) {
      responses.push_back(Apply(each.as_object()));
    }
  }
  return {{"header", Header(revision_)},
          {"succeeded", succeeded},
          {"responses", std::move(responses)}};
}

void key_value_store::Put(const std::string& key, std::string value,
                          std::int64_t lease_id) {
  stored_value& stored = values_[key];
  if (stored.version == 0) {
    stored.create_revision = revision_;
  }
  stored.value = std::move(value);
  stored.mod_revision = revision_;
  stored.lease = lease_id;
  ++stored.version;
  events_.push_back({revision_, key, stored});
}

bool key_value_store::Erase(const std::string& key) {
  if (values_.erase(key) == 0) {
    return false;
  }
  events_.push_back({revision_, key, std::nullopt});
  return true;
}

json::object key_value_store::GrantLease(const json::object& request,
                                         sassafraswick::time_point now) {
  const std::chrono::seconds ttl(IntegerField(request, "TTL"));
  const std::int64_t id = ++next_lease_;
  leases_[id] = {ttl, now + ttl};
  return {{"header", Header(revision_)},
          {"ID", std::to_string(id)},
          {"TTL", std::to_string(ttl.count())}};
}

json::object key_value_store::KeepAlive(const json::object& request,
                                        sassafraswick::time_point now) {
  const std::int64_t id = IntegerField(request, "ID");
  const auto found = leases_.find(id);
  std::int64_t remaining = 0;
  if (found != leases_.end()) {
    found->second.expires_at = now + found->second.ttl;
    remaining = found->second.ttl.count();
  }
  return {{"result", json::object{{"header", Header(revision_)},
                                  {"ID", std::to_string(id)},
                                  {"TTL", std::to_string(remaining)}}}};
}

json::object key_value_store::RevokeLease(const json::object& request) {
  RemoveLease(IntegerField(request, "ID"));
  return {{"header", Header(revision_)}};
}

void key_value_store::RemoveLease(std::int64_t id) {
  leases_.erase(id);
  std::vector<std::string> keys;
  for (const std::pair<const std::string, stored_value>& entry : values_) {
    if (entry.second.lease == id) {
      keys.push_back(entry.first);
    }
  }
  if (!keys.empty()) {
    ++revision_;
  }
  for (const std::string& key : keys) {
    Erase(key);
  }
}

void key_value_store::ExpireLeases(sassafraswick::time_point now) {
  std::vector<std::int64_t> expired;
  for (const std::pair<const std::int64_t, lease>& entry : leases_) {
    if (entry.second.expires_at <= now) {
      expired.push_back(entry.first);
    }
  }
  for (const std::int64_t id : expired) {
    RemoveLease(id);
  }
}

std::vector<stored_event> key_value_store::EventsSince(
    const std::string& key, std::int64_t revision) const {
  std::vector<stored_event> found;
  for (const stored_event& event : events_) {
    if (event.revision >= revision && event.key == key) {
      found.push_back(event);
    }
  }
  return found;
}

}  // namespace standin
