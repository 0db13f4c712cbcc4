#include "sassafraswick/config/configuration.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace sassafraswick {
namespace {

namespace json = boost::json;

error InvalidRecord(const std::string& reason) {
  return MakeError(error_kind::kProtocol, "configuration record: " + reason);
}

result<std::string> StringField(const json::object& object,
                                std::string_view name) {
  const json::value* const found = object.if_contains(name);
  if (found == nullptr || !found->is_string()) {
    return InvalidRecord("'" + std::string(name) +
                         "' is missing or not a string");
  }
  return std::string(found->as_string());
}

result<key_record> ParseKey(const json::value& encoded) {
  if (!encoded.is_object()) {
    return InvalidRecord("a key is not an object");
  }
  key_record key;
  const json::object& object = encoded.as_object();
  BOOST_OUTCOME_TRY(key.id, StringField(object, "id"));
  BOOST_OUTCOME_TRY(key.organisation, StringField(object, "organisation"));
  BOOST_OUTCOME_TRY(key.hash, StringField(object, "hash"));
  return key;
}

}  // namespace

std::string SerializeConfiguration(const configuration& value) {
  json::array keys;
  for (const std::pair<const std::string, key_record>& entry : value.keys) {
    keys.push_back(json::object{{"id", entry.second.id},
                                {"organisation", entry.second.organisation},
                                {"hash", entry.second.hash}});
  }
  return json::serialize(json::object{{"version", value.version},
                                      {"change_id", value.change_id},
                                      {"summary", value.summary},
                                      {"tables", value.tables_text},
                                      {"keys", std::move(keys)}});
}

result<configuration> ParseConfiguration(std::string_view text) {
  boost::system::error_code invalid;
  const json::value parsed =
      json::parse(json::string_view(text.data(), text.size()), invalid);
  if (invalid || !parsed.is_object()) {
    return InvalidRecord("not a JSON object");
  }
  const json::object& object = parsed.as_object();
  const json::value* const number = object.if_contains("version");
  const json::value* const keys = object.if_contains("keys");
  if (number == nullptr || !number->is_number() || keys == nullptr ||
      !keys->is_array()) {
    return InvalidRecord("'version' or 'keys' is missing or has a wrong type");
  }
  configuration decoded;
  decoded.version = number->to_number<std::uint64_t>();
  BOOST_OUTCOME_TRY(decoded.change_id, StringField(object, "change_id"));
  BOOST_OUTCOME_TRY(decoded.summary, StringField(object, "summary"));
  BOOST_OUTCOME_TRY(decoded.tables_text, StringField(object, "tables"));
  if (!decoded.tables_text.empty()) {
    BOOST_OUTCOME_TRY(decoded.tables,
                      ParseTables(decoded.tables_text, "configuration record"));
  }
  for (const json::value& encoded : keys->as_array()) {
    BOOST_OUTCOME_TRY(key_record key, ParseKey(encoded));
    decoded.keys[key.id] = std::move(key);
  }
  return decoded;
}

std::optional<std::string> Authenticate(const configuration& current,
                                        std::string_view organisation,
                                        std::string_view key) {
  const auto found = current.keys.find(KeyId(key));
  const bool valid = found != current.keys.end() &&
                     MatchesKey(key, found->second) &&
                     found->second.organisation == organisation;
  return valid ? std::optional<std::string>(found->first) : std::nullopt;
}

}  // namespace sassafraswick
