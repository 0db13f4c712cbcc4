#include <sodium.h>

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <deque>
#include <iostream>
#include <map>

#include "sassafraswick/net/async_event.h"
#include "sassafraswick/proxy/stream.h"
#include "sassafraswick/store/base64.h"
#include "standin/arguments.h"
#include "standin/key_value.h"

/// @file
/// Simulates the platform's key-value store and host list, for demos and tests.
///
/// POST /v3/kv/range, /v3/kv/txn, /v3/lease/grant, /v3/lease/keepalive,
/// /v3/lease/revoke and /v3/watch follow etcd v3's JSON API. GET /hosts returns
/// the host list. POST /standin changes settings and POST /standin/hosts the
/// host list; GET /standin returns the number of requests by path.

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using sassafraswick::duration;
using sassafraswick::monotonic_clock;
using sassafraswick::time_point;

constexpr duration kWatchPollInterval = std::chrono::milliseconds(10);
constexpr duration kLeaseCheckInterval = std::chrono::milliseconds(100);
constexpr std::uint64_t kMaxBodyBytes = 2'097'152;

/// Settings that tests change at run time, to inject faults.
struct platform_settings {
  bool outage = false;
  /// Number of store transactions whose response is dropped after they have
  /// been applied.
  std::int64_t responses_to_drop = 0;
  duration delay = duration::zero();
  duration host_list_lag = duration::zero();
  std::int64_t requests_per_second = 2000;
};

struct published_hosts {
  time_point published_at;
  json::array hosts;
};

struct platform_state {
  standin::key_value_store store;
  platform_settings settings;
  std::deque<published_hosts> host_lists;
  std::map<std::string, std::int64_t, std::less<>> request_counts;
  time_point second_start;
  std::int64_t requests_this_second = 0;
};

using request_type = http::request<http::string_body>;
using response_type = http::response<http::string_body>;

bool WithinRate(platform_state& state) {
  const time_point now = monotonic_clock::now();
  if (now - state.second_start > std::chrono::seconds(1)) {
    state.second_start = now;
    state.requests_this_second = 0;
  }
  ++state.requests_this_second;
  return state.requests_this_second <= state.settings.requests_per_second;
}

std::int64_t IntegerOr(const json::object& object, std::string_view name,
                       std::int64_t fallback) {
  const json::value* const found = object.if_contains(name);
  return found != nullptr && found->is_int64() ? found->as_int64() : fallback;
}

json::object UpdateSettings(platform_state& state, const json::object& values) {
  platform_settings& settings = state.settings;
  settings.outage = IntegerOr(values, "outage", settings.outage ? 1 : 0) != 0;
  settings.responses_to_drop =
      IntegerOr(values, "lose_answers", settings.responses_to_drop);
  settings.delay = std::chrono::milliseconds(IntegerOr(
      values, "delay_ms",
      std::chrono::duration_cast<std::chrono::milliseconds>(settings.delay)
          .count()));
  settings.host_list_lag = std::chrono::milliseconds(
      IntegerOr(values, "host_list_lag_ms",
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    settings.host_list_lag)
                    .count()));
  settings.requests_per_second =
      IntegerOr(values, "requests_per_second", settings.requests_per_second);
  return {{"set", true}};
}

json::object ListHosts(const platform_state& state) {
  const time_point visible =
      monotonic_clock::now() - state.settings.host_list_lag;
  json::array hosts;
  for (const published_hosts& each : state.host_lists) {
    if (each.published_at <= visible) {
      hosts = each.hosts;
    }
  }
  return {{"hosts", std::move(hosts)}};
}

json::object Counts(const platform_state& state) {
  json::object request_counts;
  for (const std::pair<const std::string, std::int64_t>& entry :
       state.request_counts) {
    request_counts[entry.first] = entry.second;
  }
  return request_counts;
}

/// Handles a request that has a single response.
/// @return The response body; empty for an unknown path.
std::optional<json::object> HandleRequest(platform_state& state,
                                          const std::string& path,
                                          const json::object& body) {
  if (path == "/v3/kv/range") return state.store.Range(body);
  if (path == "/v3/kv/txn") return state.store.Transact(body);
  if (path == "/v3/lease/grant") {
    return state.store.GrantLease(body, monotonic_clock::now());
  }
  if (path == "/v3/lease/keepalive") {
    return state.store.KeepAlive(body, monotonic_clock::now());
  }
  if (path == "/v3/lease/revoke") return state.store.RevokeLease(body);
  if (path == "/hosts") return ListHosts(state);
  if (path == "/standin/hosts") {
    state.host_lists.push_back(
        {monotonic_clock::now(), body.at("hosts").as_array()});
    return json::object{{"set", true}};
  }
  if (path == "/standin") {
    return body.empty() ? Counts(state) : UpdateSettings(state, body);
  }
  return std::nullopt;
}

/// Streams the changes of one key until the connection closes or an outage
/// begins.
asio::awaitable<void> ServeWatch(platform_state& state,
                                 asio::ip::tcp::socket& socket,
                                 const json::object& body) {
  const json::object& create = body.at("create_request").as_object();
  const std::string key =
      sassafraswick::DecodeBase64(std::string(create.at("key").as_string()));
  std::int64_t next = state.store.Revision() + 1;
  if (const json::value* start = create.if_contains("start_revision")) {
    next = std::strtoll(start->is_string()
                            ? start->as_string().c_str()
                            : std::to_string(start->as_int64()).c_str(),
                        nullptr, 10);
  }
  const auto send = [&socket](std::string text) -> asio::awaitable<bool> {
    text += "\n";
    boost::system::error_code failure;
    co_await asio::async_write(
        socket, http::make_chunk(asio::buffer(text)),
        asio::redirect_error(asio::use_awaitable, failure));
    co_return !failure;
  };
  http::response<http::empty_body> head{http::status::ok, 11};
  head.chunked(true);
  http::response_serializer<http::empty_body> serializer{head};
  boost::system::error_code failure;
  co_await http::async_write_header(
      socket, serializer, asio::redirect_error(asio::use_awaitable, failure));
  bool open = !failure && co_await send(R"({"result":{"created":true}})");
  while (open && !state.settings.outage) {
    for (const standin::stored_event& event :
         state.store.EventsSince(key, next)) {
      json::object encoded;
      encoded["type"] = event.value.has_value() ? "PUT" : "DELETE";
      encoded["kv"] = standin::EncodeKeyValue(
          event.key, event.value.value_or(standin::stored_value()));
      const json::object line{
          {"result", json::object{{"events", json::array{encoded}}}}};
      open = open && co_await send(json::serialize(line));
      next = event.revision + 1;
    }
    co_await sassafraswick::Sleep(kWatchPollInterval);
  }
}

asio::awaitable<void> ServeConnection(platform_state& state,
                                      asio::ip::tcp::socket socket) {
  boost::beast::flat_buffer buffer;
  while (true) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    boost::system::error_code failure;
    co_await http::async_read(
        socket, buffer, parser,
        asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      co_return;
    }
    const request_type request = parser.release();
    const std::string path(request.target());
    const bool is_test_control = path.starts_with("/standin");
    boost::system::error_code invalid;
    const json::value parsed = request.body().empty()
                                   ? json::value(json::object())
                                   : json::parse(request.body(), invalid);
    if (invalid || !parsed.is_object()) {
      co_return;
    }
    if (!is_test_control) {
      ++state.request_counts[path];
      if (state.settings.outage) {
        co_return;
      }
      co_await sassafraswick::Sleep(state.settings.delay);
    }
    if (path == "/v3/watch") {
      co_await ServeWatch(state, socket, parsed.as_object());
      co_return;
    }
    response_type response{http::status::ok, request.version()};
    if (!is_test_control && !WithinRate(state)) {
      response.result(http::status::too_many_requests);
      response.body() = R"({"error":"too many requests"})";
    } else {
      const std::optional<json::object> response_body =
          HandleRequest(state, path, parsed.as_object());
      response.result(response_body.has_value() ? http::status::ok
                                                : http::status::not_found);
      response.body() = json::serialize(response_body.value_or(json::object()));
    }
    if (path == "/v3/kv/txn" && state.settings.responses_to_drop > 0) {
      --state.settings.responses_to_drop;
      co_return;
    }
    response.keep_alive(request.keep_alive());
    response.prepare_payload();
    co_await http::async_write(
        socket, response, asio::redirect_error(asio::use_awaitable, failure));
    if (failure || !request.keep_alive()) {
      co_return;
    }
  }
}

asio::awaitable<void> Serve(platform_state& state,
                            asio::ip::tcp::acceptor& acceptor) {
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  while (true) {
    boost::system::error_code failure;
    asio::ip::tcp::socket socket = co_await acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, failure));
    if (!failure) {
      asio::co_spawn(executor, ServeConnection(state, std::move(socket)),
                     asio::detached);
    }
  }
}

asio::awaitable<void> ExpireLeases(platform_state& state) {
  while (true) {
    state.store.ExpireLeases(monotonic_clock::now());
    co_await sassafraswick::Sleep(kLeaseCheckInterval);
  }
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Simulated platform: key-value store and host list");
  std::string listen;
  app.add_option("--listen", listen)->required();
  CLI11_PARSE(app, argc, argv);
  if (sodium_init() < 0) {
    return 1;
  }
  const sassafraswick::endpoint address = standin::EndpointOrExit(listen);
  asio::io_context context(1);
  platform_state state;
  sassafraswick::result<asio::ip::tcp::acceptor> acceptor =
      sassafraswick::Listen(context.get_executor(), address);
  if (!acceptor) {
    std::cerr << acceptor.error().message << "\n";
    return 1;
  }
  asio::co_spawn(context, Serve(state, acceptor.value()), asio::detached);
  asio::co_spawn(context, ExpireLeases(state), asio::detached);
  context.run();
  return 0;
}
