#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <deque>
#include <memory>

#include "sassafraswick/proxy/stream.h"
#include "standin/instance.h"

/// @file
/// Replication between simulated instances: JSON lines over TCP. The primary
/// sends log entries. The replica replies with its term and a time stamp of its
/// own clock. The primary echoes that stamp with the next entries, which gives
/// the replica an upper bound of its lag without synchronised clocks.

namespace standin {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr duration kHeartbeatPeriod = std::chrono::milliseconds(20);
constexpr duration kReconnectDelay = std::chrono::milliseconds(50);
constexpr duration kConnectTimeout = std::chrono::milliseconds(500);
constexpr std::size_t kMaxLineBytes = 16'777'216;

json::value EncodeRow(const row& values) {
  json::array encoded;
  for (const cell& value : values) {
    encoded.push_back(value.has_value() ? json::value(*value)
                                        : json::value(nullptr));
  }
  return encoded;
}

row DecodeRow(const json::array& encoded) {
  row values;
  for (const json::value& value : encoded) {
    values.push_back(value.is_null() ? cell()
                                     : cell(std::string(value.as_string())));
  }
  return values;
}

json::value EncodeEntry(const log_entry& entry) {
  json::array changes;
  for (const change& each : entry.changes) {
    json::array columns;
    for (const column& defined : each.columns) {
      columns.push_back(json::array{defined.name,
                                    defined.type == column_type::kBigint,
                                    defined.primary_key});
    }
    changes.push_back(json::array{static_cast<int>(each.type), each.table,
                                  each.key.number, each.key.text,
                                  EncodeRow(each.values), std::move(columns)});
  }
  return json::array{entry.term, std::move(changes)};
}

log_entry DecodeEntry(const json::value& encoded) {
  log_entry entry;
  entry.term = encoded.at(0).to_number<term_number>();
  for (const json::value& each : encoded.at(1).as_array()) {
    change decoded;
    decoded.type = static_cast<change_type>(each.at(0).to_number<int>());
    decoded.table = std::string(each.at(1).as_string());
    decoded.key.number = each.at(2).to_number<std::int64_t>();
    decoded.key.text = std::string(each.at(3).as_string());
    decoded.values = DecodeRow(each.at(4).as_array());
    for (const json::value& defined : each.at(5).as_array()) {
      decoded.columns.push_back(
          {std::string(defined.at(0).as_string()),
           defined.at(1).as_bool() ? column_type::kBigint : column_type::kText,
           defined.at(2).as_bool()});
    }
    entry.changes.push_back(std::move(decoded));
  }
  return entry;
}

/// Reads one JSON line.
/// @return An empty object at the end of the stream or on invalid input.
asio::awaitable<json::object> ReadLine(asio::ip::tcp::socket& socket,
                                       std::string& buffer) {
  boost::system::error_code failure;
  const std::size_t size = co_await asio::async_read_until(
      socket, asio::dynamic_buffer(buffer, kMaxLineBytes), '\n',
      asio::redirect_error(asio::use_awaitable, failure));
  if (failure) {
    co_return json::object();
  }
  boost::system::error_code invalid;
  const json::value parsed = json::parse(buffer.substr(0, size), invalid);
  buffer.erase(0, size);
  if (invalid || !parsed.is_object()) {
    co_return json::object();
  }
  co_return parsed.as_object();
}

std::int64_t ClockStamp() {
  return std::chrono::duration_cast<duration>(
             sassafraswick::monotonic_clock::now().time_since_epoch())
      .count();
}

/// Progress of a replica, updated by the reader of its connection.
struct peer_progress {
  std::int64_t echo = 0;
  bool closed = false;
};

asio::awaitable<void> ReadAcknowledgements(
    std::shared_ptr<asio::ip::tcp::socket> socket,
    std::shared_ptr<peer_progress> progress, term_number own_term,
    std::function<void(term_number)> on_higher_term) {
  std::string buffer;
  while (true) {
    const json::object message = co_await ReadLine(*socket, buffer);
    if (message.empty()) {
      progress->closed = true;
      co_return;
    }
    const term_number term = message.at("term").to_number<term_number>();
    if (term > own_term) {
      on_higher_term(term);
    }
    progress->echo = message.at("stamp").to_number<std::int64_t>();
  }
}

}  // namespace

std::string instance::LogState() const {
  json::array starts;
  for (const sassafraswick::term_start& start : history_) {
    starts.push_back(json::array{start.term, start.position});
  }
  return json::serialize(json::object{{"term", term_},
                                      {"length", log_.size()},
                                      {"starts", std::move(starts)},
                                      {"stamp", ClockStamp()}}) +
         "\n";
}

log_position instance::CommonPrefix(const json::object& peer_state) const {
  sassafraswick::term_history peer;
  for (const json::value& start : peer_state.at("starts").as_array()) {
    peer.push_back({start.at(0).to_number<term_number>(),
                    start.at(1).to_number<log_position>()});
  }
  log_position common = std::min<log_position>(
      peer_state.at("length").to_number<log_position>(), log_.size());
  for (std::size_t i = 0; i < std::max(peer.size(), history_.size()); ++i) {
    if (i < peer.size() && i < history_.size() && peer[i] == history_[i]) {
      continue;
    }
    if (i < peer.size()) {
      common = std::min(common, peer[i].position);
    }
    if (i < history_.size()) {
      common = std::min(common, history_[i].position);
    }
    break;
  }
  return common;
}

std::string instance::AppendMessage(log_position begin, log_position end,
                                    std::int64_t echo) const {
  json::array entries;
  for (log_position at = begin; at < end; ++at) {
    entries.push_back(EncodeEntry(log_[at]));
  }
  json::array starts;
  for (const sassafraswick::term_start& start : history_) {
    starts.push_back(json::array{start.term, start.position});
  }
  return json::serialize(json::object{{"term", term_},
                                      {"begin", begin},
                                      {"entries", std::move(entries)},
                                      {"starts", std::move(starts)},
                                      {"echo", echo}}) +
         "\n";
}

asio::awaitable<void> instance::SendReplication(endpoint peer) {
  while (true) {
    if (!is_primary_ || runtime_settings_.isolated) {
      co_await changed_.Wait(kReconnectDelay);
      continue;
    }
    sassafraswick::result<sassafraswick::stream_socket> connected =
        co_await sassafraswick::Connect(peer, kConnectTimeout);
    if (connected) {
      co_await SendToPeer(std::move(connected.value()));
    }
    co_await sassafraswick::Sleep(kReconnectDelay);
  }
}

asio::awaitable<void> instance::SendToPeer(asio::ip::tcp::socket connected) {
  std::shared_ptr<asio::ip::tcp::socket> socket =
      std::make_shared<asio::ip::tcp::socket>(std::move(connected));
  const term_number own_term = term_;
  std::string buffer;
  const std::string handshake =
      json::serialize(json::object{{"hello", own_term}}) + "\n";
  if (!co_await sassafraswick::WriteAll(*socket, handshake)) {
    co_return;
  }
  const json::object state = co_await ReadLine(*socket, buffer);
  if (state.empty()) {
    co_return;
  }
  const term_number peer_term = state.at("term").to_number<term_number>();
  if (peer_term > own_term && is_primary_ && term_ == own_term) {
    StepDown(peer_term);
    co_return;
  }
  log_position sent = CommonPrefix(state);
  log_position queued = sent;
  std::shared_ptr<peer_progress> progress = std::make_shared<peer_progress>();
  progress->echo = state.at("stamp").to_number<std::int64_t>();
  asio::co_spawn(context_,
                 ReadAcknowledgements(socket, progress, own_term,
                                      [this, own_term](term_number higher) {
                                        if (term_ == own_term) {
                                          StepDown(higher);
                                        }
                                      }),
                 asio::detached);
  std::deque<delayed_message> delayed;
  bool first = true;
  while (is_primary_ && term_ == own_term && !runtime_settings_.isolated &&
         !progress->closed) {
    const time_point now = sassafraswick::monotonic_clock::now();
    if (first || queued < log_.size() || delayed.empty()) {
      delayed.push_back({now + runtime_settings_.replication_delay, log_.size(),
                         progress->echo});
      queued = log_.size();
      first = false;
    }
    while (!delayed.empty() && delayed.front().due <= now) {
      const delayed_message message = delayed.front();
      delayed.pop_front();
      const std::string line = AppendMessage(sent, message.end, message.echo);
      sent = message.end;
      if (!co_await sassafraswick::WriteAll(*socket, line)) {
        co_return;
      }
    }
    duration wait = kHeartbeatPeriod;
    if (!delayed.empty()) {
      wait = std::clamp(
          std::chrono::duration_cast<duration>(delayed.front().due - now),
          duration(100), kHeartbeatPeriod);
    }
    if (queued == log_.size()) {
      co_await changed_.Wait(wait);
    }
  }
  boost::system::error_code ignored;
  socket->close(ignored);
}

asio::awaitable<void> instance::AcceptReplication() {
  sassafraswick::result<asio::ip::tcp::acceptor> acceptor =
      sassafraswick::Listen(context_.get_executor(),
                            settings_.replication_listen);
  while (acceptor) {
    boost::system::error_code failure;
    asio::ip::tcp::socket socket = co_await acceptor.value().async_accept(
        asio::redirect_error(asio::use_awaitable, failure));
    if (!failure) {
      boost::system::error_code ignored;
      socket.set_option(asio::ip::tcp::no_delay(true), ignored);
      asio::co_spawn(context_, ReceiveReplication(std::move(socket)),
                     asio::detached);
    }
  }
}

asio::awaitable<void> instance::ReceiveReplication(
    asio::ip::tcp::socket socket) {
  std::string buffer;
  const std::uint64_t connection = ++newest_replication_connection_;
  while (!runtime_settings_.isolated) {
    const json::object message = co_await ReadLine(socket, buffer);
    // A message that arrives late on an older connection must not truncate
    // entries received on a newer one.
    const bool outdated = connection != newest_replication_connection_;
    if (message.empty() || runtime_settings_.isolated || outdated) {
      co_return;
    }
    const std::string reply = HandleFromPrimary(message);
    if (reply.empty()) {
      co_return;
    }
    const sassafraswick::result<void> written =
        co_await sassafraswick::WriteAll(socket, reply);
    if (!written) {
      co_return;
    }
  }
}

std::string instance::HandleFromPrimary(const json::object& message) {
  if (message.contains("hello")) {
    const term_number term = message.at("hello").to_number<term_number>();
    if (term > term_) {
      StepDown(term);
    }
    return LogState();
  }
  const term_number term = message.at("term").to_number<term_number>();
  if (term < term_ || is_primary_) {
    return LogState();
  }
  term_ = term;
  return AppendEntries(message) ? LogState() : std::string();
}

bool instance::AppendEntries(const json::object& message) {
  const time_point now = sassafraswick::monotonic_clock::now();
  const log_position begin = message.at("begin").to_number<log_position>();
  const json::array& entries = message.at("entries").as_array();
  if (begin > log_.size()) {
    return false;
  }
  TruncateTo(begin);
  for (const json::value& entry : entries) {
    log_.push_back(DecodeEntry(entry));
    received_at_.push_back(now);
  }
  history_.clear();
  for (const json::value& start : message.at("starts").as_array()) {
    const sassafraswick::term_start decoded{
        start.at(0).to_number<term_number>(),
        start.at(1).to_number<log_position>()};
    if (decoded.position < log_.size() || decoded.term == 1) {
      history_.push_back(decoded);
    }
  }
  last_primary_message_at_ = now;
  if (applied_ >= freshness_position_) {
    fresh_as_of_ = std::max(fresh_as_of_, pending_fresh_as_of_);
    freshness_position_ = log_.size();
    pending_fresh_as_of_ =
        time_point(duration(message.at("echo").to_number<std::int64_t>()));
  }
  if (!entries.empty()) {
    changed_.NotifyAll();
  } else if (applied_ >= freshness_position_) {
    fresh_as_of_ = std::max(fresh_as_of_, pending_fresh_as_of_);
  }
  return true;
}

}  // namespace standin
