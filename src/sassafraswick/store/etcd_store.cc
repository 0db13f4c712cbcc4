#include "sassafraswick/store/etcd_store.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/stream_parser.hpp>
#include <charconv>

#include "sassafraswick/store/base64.h"

namespace sassafraswick {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;

constexpr int kHttpVersion = 11;
constexpr std::uint64_t kMaxResponseBytes = 8'388'608;

error Unavailable(const endpoint& address, const std::string& operation,
                  const std::string& reason) {
  return MakeError(error_kind::kUnavailable,
                   "platform at " + FormatEndpoint(address) + ": " + operation +
                       ": " + reason);
}

error MalformedResponse(const std::string& operation) {
  return MakeError(error_kind::kProtocol,
                   "platform: " + operation + ": malformed response");
}

http::request<http::string_body> MakeRequest(const endpoint& address,
                                             const std::string& path,
                                             const json::object* body) {
  http::request<http::string_body> request{
      body == nullptr ? http::verb::get : http::verb::post, path, kHttpVersion};
  request.set(http::field::host, FormatEndpoint(address));
  if (body != nullptr) {
    request.set(http::field::content_type, "application/json");
    request.body() = json::serialize(*body);
  }
  request.prepare_payload();
  return request;
}

asio::awaitable<boost::system::error_code> SendRequest(
    beast::tcp_stream& stream, const endpoint& address,
    http::request<http::string_body> request) {
  boost::system::error_code failure;
  const asio::ip::tcp::endpoint target(
      asio::ip::make_address(address.address, failure), address.port);
  co_await stream.async_connect(
      target, asio::redirect_error(asio::use_awaitable, failure));
  if (!failure) {
    co_await http::async_write(
        stream, request, asio::redirect_error(asio::use_awaitable, failure));
  }
  co_return failure;
}

/// Sends one request over a new connection.
/// @param body Body of a POST request; if null, a GET request is sent.
asio::awaitable<result<json::object>> Call(const endpoint& address,
                                           duration timeout, std::string path,
                                           const json::object* body) {
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(timeout);
  boost::system::error_code failure =
      co_await SendRequest(stream, address, MakeRequest(address, path, body));
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxResponseBytes);
  if (!failure) {
    co_await http::async_read(
        stream, buffer, parser,
        asio::redirect_error(asio::use_awaitable, failure));
  }
  if (failure) {
    co_return Unavailable(address, path, failure.message());
  }
  const http::response<http::string_body> response = parser.release();
  if (response.result() != http::status::ok) {
    co_return Unavailable(address, path,
                          "status " + std::to_string(response.result_int()));
  }
  boost::system::error_code invalid;
  json::value parsed = json::parse(response.body(), invalid);
  if (invalid || !parsed.is_object()) {
    co_return MalformedResponse(path);
  }
  co_return std::move(parsed.as_object());
}

/// Reads an int64, which etcd encodes as a JSON string.
std::int64_t IntegerField(const json::object& object, std::string_view name) {
  const json::value* const found = object.if_contains(name);
  std::int64_t number = 0;
  if (found != nullptr && found->is_string()) {
    const json::string& text = found->as_string();
    std::from_chars(text.data(), text.data() + text.size(), number);
  } else if (found != nullptr && found->is_number()) {
    number = found->to_number<std::int64_t>();
  }
  return number;
}

std::string StringField(const json::object& object, std::string_view name) {
  const json::value* const found = object.if_contains(name);
  return found != nullptr && found->is_string()
             ? std::string(found->as_string())
             : std::string();
}

stored_record DecodeRecord(const json::object& encoded) {
  return {DecodeBase64(StringField(encoded, "value")),
          IntegerField(encoded, "mod_revision")};
}

std::vector<stored_record> DecodeRecords(const json::object& response) {
  std::vector<stored_record> records;
  const json::value* const found = response.if_contains("kvs");
  if (found != nullptr && found->is_array()) {
    for (const json::value& each : found->as_array()) {
      if (each.is_object()) {
        records.push_back(DecodeRecord(each.as_object()));
      }
    }
  }
  return records;
}

json::object EncodeWrite(const record_write& write) {
  const std::string key = EncodeBase64(write.key);
  if (!write.value.has_value()) {
    return {{"request_delete_range", json::object{{"key", key}}}};
  }
  return {{"request_put",
           json::object{{"key", key}, {"value", EncodeBase64(*write.value)}}}};
}

/// Returns the first key after all keys with a prefix.
std::string PrefixEnd(std::string prefix) {
  ++prefix.back();
  return prefix;
}

/// Extracts the last changed record from a message of a watch stream.
std::optional<stored_record> DecodeWatchResponse(const json::value& message) {
  const json::object* const object = message.if_object();
  const json::value* const outer =
      object == nullptr ? nullptr : object->if_contains("result");
  const json::value* const events =
      outer == nullptr || !outer->is_object()
          ? nullptr
          : outer->as_object().if_contains("events");
  if (events == nullptr || !events->is_array() || events->as_array().empty()) {
    return std::nullopt;
  }
  const json::object* const event = events->as_array().back().if_object();
  const json::value* const record =
      event == nullptr ? nullptr : event->if_contains("kv");
  if (record == nullptr || !record->is_object()) {
    return std::nullopt;
  }
  return DecodeRecord(record->as_object());
}

/// Consumes complete lines of a stream of JSON messages, up to the first that
/// contains a changed record.
std::optional<stored_record> ExtractEvent(std::string& received) {
  std::optional<stored_record> found;
  std::size_t end = received.find('\n');
  while (end != std::string::npos && !found.has_value()) {
    boost::system::error_code invalid;
    const json::value message = json::parse(received.substr(0, end), invalid);
    received.erase(0, end + 1);
    if (!invalid) {
      found = DecodeWatchResponse(message);
    }
    end = received.find('\n');
  }
  return found;
}

}  // namespace

asio::awaitable<result<std::optional<stored_record>>> etcd_store::Get(
    std::string key) {
  const json::object body{{"key", EncodeBase64(key)}};
  const result<json::object> response =
      co_await Call(address_, call_timeout_, "/v3/kv/range", &body);
  if (!response) {
    co_return response.error();
  }
  std::vector<stored_record> records = DecodeRecords(response.value());
  if (records.empty()) {
    co_return std::optional<stored_record>();
  }
  co_return std::optional<stored_record>(std::move(records.front()));
}

asio::awaitable<result<std::vector<stored_record>>> etcd_store::List(
    std::string prefix) {
  const json::object body{{"key", EncodeBase64(prefix)},
                          {"range_end", EncodeBase64(PrefixEnd(prefix))}};
  const result<json::object> response =
      co_await Call(address_, call_timeout_, "/v3/kv/range", &body);
  if (!response) {
    co_return response.error();
  }
  co_return DecodeRecords(response.value());
}

asio::awaitable<result<bool>> etcd_store::Write(conditional_write write) {
  json::array operations;
  for (const record_write& each : write.writes) {
    operations.push_back(EncodeWrite(each));
  }
  const json::object comparison{
      {"target", "MOD"},
      {"result", "EQUAL"},
      {"key", EncodeBase64(write.key)},
      {"mod_revision", std::to_string(write.expected_revision)}};
  const json::object body{{"compare", json::array{comparison}},
                          {"success", std::move(operations)}};
  const result<json::object> response =
      co_await Call(address_, call_timeout_, "/v3/kv/txn", &body);
  if (!response) {
    co_return response.error();
  }
  const json::value* const succeeded =
      response.value().if_contains("succeeded");
  co_return succeeded != nullptr && succeeded->is_bool() &&
      succeeded->as_bool();
}

asio::awaitable<result<std::optional<stored_record>>> etcd_store::Watch(
    std::string key, std::int64_t revision, duration timeout) {
  const std::string path = "/v3/watch";
  const json::object body{
      {"create_request",
       json::object{{"key", EncodeBase64(key)},
                    {"start_revision", std::to_string(revision)}}}};
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(timeout);
  boost::system::error_code failure = co_await SendRequest(
      stream, address_, MakeRequest(address_, path, &body));
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxResponseBytes);
  std::optional<stored_record> found;
  while (!failure && !found.has_value()) {
    co_await http::async_read_some(
        stream, buffer, parser,
        asio::redirect_error(asio::use_awaitable, failure));
    found = ExtractEvent(parser.get().body());
  }
  if (found.has_value() || failure == beast::error::timeout) {
    co_return found;
  }
  co_return Unavailable(address_, path, failure.message());
}

asio::awaitable<result<std::vector<listed_host>>> FetchHosts(endpoint address,
                                                             duration timeout) {
  const std::string path = "/hosts";
  const result<json::object> response =
      co_await Call(address, timeout, path, nullptr);
  if (!response) {
    co_return response.error();
  }
  const json::value* const list = response.value().if_contains("hosts");
  if (list == nullptr || !list->is_array()) {
    co_return MalformedResponse(path);
  }
  std::vector<listed_host> hosts;
  for (const json::value& each : list->as_array()) {
    const json::object* const object = each.if_object();
    if (object == nullptr) {
      co_return MalformedResponse(path);
    }
    const result<endpoint> peers = ParseEndpoint(StringField(*object, "peers"));
    if (!peers) {
      co_return peers.error();
    }
    hosts.push_back({StringField(*object, "host"),
                     StringField(*object, "availability_zone"), peers.value(),
                     StringField(*object, "state") == "leaving"});
  }
  co_return hosts;
}

}  // namespace sassafraswick
