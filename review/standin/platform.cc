#include "review/standin/platform.h"

#include <unistd.h>

#include <algorithm>
#include <boost/json.hpp>
#include <fstream>
#include <utility>

namespace review {
namespace {

namespace json = boost::json;

constexpr milliseconds kPollInterval(5);
constexpr milliseconds kStoreTime(4);
constexpr std::size_t kPageItems = 500;

std::string ConsumeWord(std::string& text) {
  const std::size_t end = std::min(text.find(' '), text.size());
  std::string word = text.substr(0, end);
  text.erase(0, std::min(end + 1, text.size()));
  return word;
}

std::string Line(const std::string& text) { return text + "\r\n"; }

std::string Parameter(const std::string& target, const std::string& name) {
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t begin = at + 1;
    const std::size_t end = std::min(target.find('&', begin), target.size());
    const std::string field = target.substr(begin, end - begin);
    if (field.starts_with(name + "=")) {
      return field.substr(name.size() + 1);
    }
    at = end < target.size() ? end : std::string::npos;
  }
  return {};
}

constexpr std::string_view kBase64 =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string Encode(const std::string& bytes) {
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8U |
              (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                    : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text +=
          i + j <= bytes.size() ? kBase64[group >> (18U - 6U * j) & 63U] : '=';
    }
  }
  return text;
}

std::string Decode(const std::string& text) {
  std::string bytes;
  std::uint32_t group = 0;
  unsigned bits = 0;
  for (const char each : text) {
    const std::size_t value = kBase64.find(each);
    if (value == std::string_view::npos) {
      break;
    }
    group = group << 6U | static_cast<std::uint32_t>(value);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>(group >> bits & 255U);
    }
  }
  return bytes;
}

struct http_request {
  std::string method;
  std::string target;
  std::map<std::string, std::string> headers;
  std::string body;
};

bool ReadRequest(line_reader& reader, http_request& request) {
  std::string line;
  if (!reader.ReadLine(line)) {
    return false;
  }
  request = {};
  request.method = ConsumeWord(line);
  request.target = ConsumeWord(line);
  while (reader.ReadLine(line) && !line.empty()) {
    const std::size_t colon = line.find(": ");
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char each) { return std::tolower(each); });
    request.headers[name] = line.substr(std::min(colon + 2, line.size()));
  }
  const std::string& length = request.headers["content-length"];
  return length.empty() || reader.ReadBytes(std::stoul(length), request.body);
}

std::string FormatResponse(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) +
         " -\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

store::store(recorder& record)
    : record_(record),
      server_(std::make_unique<tcp_server>(
          [this](int descriptor) { Serve(descriptor); })) {}

store::~store() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopped_ = true;
    changed_.notify_all();
  }
  server_.reset();
}

void store::SetDown(bool down) {
  const std::lock_guard<std::mutex> lock(mutex_);
  EndDueLeases();
  down_ = down;
  record_.Write(down ? "store: down, answers 503" : "store: back");
  changed_.notify_all();
}

bool store::IsDown() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return down_;
}

bool store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (down_) {
    return false;
  }
  Write(key, value, 0);
  return true;
}

void store::Expire(const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Erase(key);
}

bool store::Has(const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return items_.contains(key);
}

std::string store::Value(const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  EndDueLeases();
  const auto found = items_.find(key);
  return found == items_.end() ? std::string() : found->second.value;
}

void store::Serve(int descriptor) {
  line_reader reader(descriptor);
  http_request request;
  while (ReadRequest(reader, request)) {
    Pause(kStoreTime);
    const response answer =
        Handle(request.method, request.target, request.body);
    if (!SendAll(descriptor, FormatResponse(answer.status, answer.body))) {
      return;
    }
  }
}

store::response store::Handle(const std::string& method,
                              const std::string& target,
                              const std::string& body) {
  std::unique_lock<std::mutex> lock(mutex_);
  EndDueLeases();
  if (down_ || stopped_) {
    return {503, "{}"};
  }
  const std::string path = target.substr(0, target.find('?'));
  if (path == "/kv-key") {
    return Key(target);
  }
  if (path == "/kv-range") {
    return Range(target);
  }
  if (path == "/kv-watch") {
    return Watch(lock, target);
  }
  if (path == "/kv-txn") {
    response answer = Transact(body);
    record_.Write("store: txn " + body + " -> " +
                  std::to_string(answer.status) + " " + answer.body);
    return answer;
  }
  if (path == "/kv-lease") {
    return GrantLease(body);
  }
  constexpr std::string_view kKeep = "/kv-keep/";
  if (path.starts_with(kKeep)) {
    return KeepLease(std::stoull(path.substr(kKeep.size())));
  }
  constexpr std::string_view kEnd = "/kv-lease-end/";
  if (method == "DELETE" && path.starts_with(kEnd)) {
    EndLease(std::stoull(path.substr(kEnd.size())));
    return {};
  }
  return {404, "{}"};
}

store::response store::Key(const std::string& target) {
  const std::string key = Parameter(target, "key");
  const auto found = items_.find(key);
  if (found == items_.end()) {
    return {404, "{}"};
  }
  const json::object body = {{"key", key},
                             {"value", Encode(found->second.value)},
                             {"revision", found->second.revision},
                             {"created", found->second.created},
                             {"lease", found->second.lease},
                             {"store_revision", revision_}};
  return {200, json::serialize(body)};
}

store::response store::Range(const std::string& target) {
  const std::string prefix = Parameter(target, "prefix");
  const std::string after = Parameter(target, "after");
  json::array found;
  bool has_more = false;
  for (const std::pair<const std::string, item>& each : items_) {
    if (!each.first.starts_with(prefix) || each.first <= after) {
      continue;
    }
    if (found.size() == kPageItems) {
      has_more = true;
      break;
    }
    found.push_back({{"key", each.first},
                     {"value", Encode(each.second.value)},
                     {"revision", each.second.revision},
                     {"created", each.second.created},
                     {"lease", each.second.lease}});
  }
  const json::object body = {
      {"items", found}, {"has_more", has_more}, {"store_revision", revision_}};
  return {200, json::serialize(body)};
}

store::response store::Watch(std::unique_lock<std::mutex>& lock,
                             const std::string& target) {
  const std::string prefix = Parameter(target, "prefix");
  const std::int64_t after = std::stoll(Parameter(target, "after"));
  const steady::time_point ends_at =
      steady::now() + milliseconds(std::stoll(Parameter(target, "wait_ms")));
  json::array found;
  while (found.empty() && !down_ && !stopped_ && steady::now() < ends_at) {
    for (const event& each : events_) {
      if (each.revision <= after || !each.key.starts_with(prefix)) {
        continue;
      }
      json::object row = {{"key", each.key}, {"revision", each.revision}};
      if (each.deleted) {
        row["deleted"] = true;
      } else {
        row["value"] = Encode(each.written.value);
        row["created"] = each.written.created;
        row["lease"] = each.written.lease;
      }
      found.push_back(row);
    }
    if (found.empty()) {
      changed_.wait_for(lock, milliseconds(50));
      EndDueLeases();
    }
  }
  if (down_ || stopped_) {
    return {503, "{}"};
  }
  const json::object body = {{"events", found}, {"store_revision", revision_}};
  return {200, json::serialize(body)};
}

store::response store::Transact(const std::string& body) {
  const json::object request = json::parse(body).as_object();
  for (const json::value& row : request.at("expected_revision").as_array()) {
    const auto found = items_.find(std::string(row.at("key").as_string()));
    const std::int64_t revision =
        found == items_.end() ? 0 : found->second.revision;
    if (revision != row.at("revision").to_number<std::int64_t>()) {
      return {412, "{\"items\":[]}"};
    }
  }
  for (const json::value& row : request.at("writes").as_array()) {
    const std::uint64_t lease_id = row.at("lease").to_number<std::uint64_t>();
    if (lease_id != 0 && !leases_.contains(lease_id)) {
      return {404, "{}"};
    }
  }
  for (const json::value& row : request.at("writes").as_array()) {
    Write(std::string(row.at("key").as_string()),
          Decode(std::string(row.at("value").as_string())),
          row.at("lease").to_number<std::uint64_t>());
  }
  for (const json::value& key : request.at("deletes").as_array()) {
    Erase(std::string(key.as_string()));
  }
  return {200, json::serialize(json::object{{"revision", revision_}})};
}

store::response store::GrantLease(const std::string& body) {
  const milliseconds ttl(
      json::parse(body).as_object().at("ttl_ms").to_number<std::int64_t>());
  const std::uint64_t id = next_lease_++;
  leases_[id] = {ttl, steady::now() + ttl};
  return {200, json::serialize(
                   json::object{{"lease", id}, {"ttl_ms", ttl.count()}})};
}

store::response store::KeepLease(std::uint64_t id) {
  const auto found = leases_.find(id);
  if (found == leases_.end()) {
    return {404, "{}"};
  }
  found->second.ends_at = steady::now() + found->second.ttl;
  return {200,
          json::serialize(json::object{{"ttl_ms", found->second.ttl.count()}})};
}

void store::Write(const std::string& key, const std::string& value,
                  std::uint64_t lease_id) {
  item& written = items_[key];
  written.value = value;
  written.revision = ++revision_;
  written.created = written.created == 0 ? revision_ : written.created;
  written.lease = lease_id;
  events_.push_back({revision_, key, false, written});
  changed_.notify_all();
}

void store::Erase(const std::string& key) {
  if (items_.erase(key) > 0) {
    events_.push_back({++revision_, key, true, {}});
    record_.Write("store: " + key + " is removed");
    changed_.notify_all();
  }
}

void store::EndLease(std::uint64_t id) {
  leases_.erase(id);
  std::vector<std::string> keys;
  for (const std::pair<const std::string, item>& each : items_) {
    if (each.second.lease == id) {
      keys.push_back(each.first);
    }
  }
  for (const std::string& key : keys) {
    Erase(key);
  }
}

void store::EndDueLeases() {
  std::vector<std::uint64_t> due;
  for (const std::pair<const std::uint64_t, lease>& each : leases_) {
    if (each.second.ends_at <= steady::now()) {
      due.push_back(each.first);
    }
  }
  for (const std::uint64_t id : due) {
    EndLease(id);
  }
}

database_group::database_group(std::string name, const group_options& options,
                               store& shared, recorder& record)
    : name_(std::move(name)),
      options_(options),
      store_(shared),
      record_(record) {
  for (std::size_t i = 0; i < options_.zones.size(); ++i) {
    std::unique_ptr<instance> each = std::make_unique<instance>();
    each->id = "i-" + name_ + "-" + std::to_string(i);
    each->zone = options_.zones[i];
    each->primary = i == 0;
    each->born = std::chrono::duration_cast<milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count();
    instances_.push_back(std::move(each));
  }
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    instances_[i]->server = std::make_unique<tcp_server>(
        [this, i](int descriptor) { Serve(i, descriptor); });
    Register(i);
    threads_.emplace_back([this, i] { KeepRegistered(i); });
  }
}

database_group::~database_group() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopped_ = true;
    changed_.notify_all();
  }
  for (const std::unique_ptr<instance>& each : instances_) {
    each->server.reset();
  }
  for (std::thread& each : threads_) {
    each.join();
  }
}

std::string database_group::Id(std::size_t index) const {
  return instances_.at(index)->id;
}

std::size_t database_group::Find(const std::string& id) const {
  std::size_t index = 0;
  while (index < instances_.size() && instances_[index]->id != id) {
    ++index;
  }
  return index;
}

void database_group::SetObserver(
    std::function<void(const run_report&)> observer) {
  const std::lock_guard<std::mutex> lock(mutex_);
  observer_ = std::move(observer);
}

void database_group::SetFailures(failure_choice fails) {
  const std::lock_guard<std::mutex> lock(mutex_);
  fails_ = std::move(fails);
}

void database_group::Crash(std::size_t index) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    instances_.at(index)->running = false;
    record_.Write("instance " + instances_.at(index)->id + ": crashes");
  }
  instances_.at(index)->server->Stop();
}

void database_group::Restart(std::size_t index) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    instance& each = *instances_.at(index);
    each.running = true;
    each.paused_term = 0;
    Follow(each);
    record_.Write("instance " + each.id + ": is started again");
  }
  instances_.at(index)->server->Start();
}

void database_group::SetReturnDelay(std::size_t index, milliseconds delay) {
  const std::lock_guard<std::mutex> lock(mutex_);
  instances_.at(index)->return_delay = delay;
}

std::vector<log_entry> database_group::Log(std::size_t index) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return instances_.at(index)->log;
}

std::uint64_t database_group::Term(std::size_t index) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return instances_.at(index)->term;
}

std::string database_group::Status(std::size_t index) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return StatusRow(*instances_.at(index));
}

std::size_t database_group::PrimaryIndex() {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::size_t best = instances_.size();
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    const bool is_newer = best == instances_.size() ||
                          instances_[i]->term > instances_[best]->term;
    best = instances_[i]->primary && is_newer ? i : best;
  }
  return best;
}

void database_group::Serve(std::size_t index, int descriptor) {
  instance_connection connection;
  line_reader reader(descriptor);
  std::string line;
  while (reader.ReadLine(line)) {
    std::string rest = line;
    const std::string word = ConsumeWord(rest);
    std::string answer;
    bool ends = false;
    {
      lock_type lock(mutex_);
      if (word == "START") {
        answer = Start(lock, index, connection, rest);
        ends = !connection.started;
      } else if (word == "QUERY" && connection.started) {
        const std::string id = ConsumeWord(rest);
        answer = Run(lock, index, connection, id, rest);
      } else {
        ends = true;
      }
    }
    if (!SendAll(descriptor, answer) || ends) {
      break;
    }
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  if (connection.started) {
    --instances_.at(index)->connections;
  }
}

std::string database_group::Start(lock_type& lock, std::size_t index,
                                  instance_connection& connection,
                                  const std::string& rest) {
  instance& each = *instances_.at(index);
  std::string fields = rest;
  const std::string service = ConsumeWord(fields);
  connection.tenant = ConsumeWord(fields);
  const std::string expected = ConsumeWord(fields);
  if (service != name_ || (!expected.empty() && expected != each.id)) {
    return Line("ERROR MISROUTED " + each.id);
  }
  if (each.connections >= options_.max_connections) {
    return Line("ERROR TOOMANY " + each.id);
  }
  ++each.connections;
  connection.started = true;
  TakeSlot(lock, each, options_.connect_time);
  return Ready(each, connection);
}

/// Occupies a slot for a time.
/// @return False if too many statements wait.
bool database_group::TakeSlot(lock_type& lock, instance& each,
                              milliseconds time) {
  if (each.busy >= options_.slots && each.waiting >= options_.queue) {
    return false;
  }
  ++each.waiting;
  while (!stopped_ && each.busy >= options_.slots) {
    changed_.wait_for(lock, kPollInterval);
  }
  --each.waiting;
  ++each.busy;
  lock.unlock();
  Pause(time);
  lock.lock();
  --each.busy;
  changed_.notify_all();
  return true;
}

std::size_t database_group::Visible(const instance& each) const {
  std::size_t visible = each.log.size();
  while (!each.primary && visible > 0 &&
         steady::now() <
             each.log[visible - 1].received_at + options_.replica_lag) {
    --visible;
  }
  return visible;
}

std::string database_group::Ready(const instance& each,
                                  const instance_connection& connection) const {
  const std::string state = connection.failed           ? "E"
                            : connection.in_transaction ? "T"
                                                        : "I";
  return Line("READY " + state + " " + std::to_string(each.term) + "." +
              std::to_string(Visible(each)));
}

std::string database_group::StatusRow(const instance& each) {
  return std::string(each.primary ? "primary" : "replica") + " " +
         std::to_string(each.term) + " " + std::to_string(each.term) + "." +
         std::to_string(each.log.size()) + " " +
         std::to_string(each.paused_term) + " 0 " + std::to_string(each.busy) +
         " " + std::to_string(each.connections);
}

/// Makes an instance a replica of the primary of a newer term, if there is one.
void database_group::Follow(instance& each) {
  for (const std::unique_ptr<instance>& other : instances_) {
    if (other->primary && other->term > each.term) {
      each.primary = false;
      each.paused_term = 0;
      each.term = other->term;
      each.log = other->log;
    }
  }
}

void database_group::StepDownIfDue(instance& each) {
  if (each.steps_down_at.has_value() && steady::now() >= *each.steps_down_at) {
    each.steps_down_at.reset();
    Follow(each);
    record_.Write("instance " + each.id + ": follows the new primary");
  }
}

std::string database_group::RunControl(instance& each, const std::string& word,
                                       const std::string& rest) {
  if (word == "PAUSE" && !each.primary && std::stoull(rest) > each.term) {
    each.paused_term = std::stoull(rest);
  }
  if (word == "RESUME") {
    each.paused_term = 0;
  }
  if (word == "STEPDOWN" && each.primary && std::stoull(rest) > each.term) {
    each.primary = false;
    Follow(each);
    changed_.notify_all();
  }
  if (word != "STATUS") {
    record_.Write("instance " + each.id + ": " + word + " " + rest + " -> " +
                  StatusRow(each));
  }
  return Line("ROW " + StatusRow(each)) + Line("COMPLETE -");
}

std::string database_group::Run(lock_type& lock, std::size_t index,
                                instance_connection& connection,
                                const std::string& id,
                                const std::string& text) {
  instance& each = *instances_.at(index);
  StepDownIfDue(each);
  std::string rest = text;
  const std::string word = ConsumeWord(rest);
  if (word == "STATUS" || word == "PAUSE" || word == "RESUME" ||
      word == "STEPDOWN") {
    if (word == "STATUS" && !TakeSlot(lock, each, milliseconds(1))) {
      return Line("ERROR BUSY " + each.id) + Ready(each, connection);
    }
    StepDownIfDue(each);
    return RunControl(each, word, rest) + Ready(each, connection);
  }
  std::string code;
  std::string answer;
  if (fails_ && fails_(index, text)) {
    code = "FAILED";
  } else {
    answer = Execute(lock, index, connection, id, text, code);
  }
  if (!code.empty()) {
    connection.failed = connection.in_transaction;
    answer = Line("ERROR " + code + " " + each.id);
  }
  if (observer_) {
    observer_({index, id, text, connection.values, code.empty(), code});
  }
  return answer + Ready(each, connection);
}

/// Runs a statement of a client, or one that the system issues for it.
/// @param code Set to the error code if it fails.
std::string database_group::Execute(lock_type& lock, std::size_t index,
                                    instance_connection& connection,
                                    const std::string& id, std::string text,
                                    std::string& code) {
  instance& each = *instances_.at(index);
  std::string signature = Line("COMPLETE " + each.id + "." + id);
  std::string word = ConsumeWord(text);
  if (word == "AFTER") {
    std::string position = ConsumeWord(text);
    const std::size_t dot = position.find('.');
    const std::uint64_t term = std::stoull(position.substr(0, dot));
    if (each.term < term ||
        (each.term == term &&
         Visible(each) < std::stoull(position.substr(dot + 1)))) {
      code = "LAGGING";
      return {};
    }
    word = ConsumeWord(text);
  }
  if (word == "ROLLBACK" || (word == "COMMIT" && connection.failed)) {
    code = word == "COMMIT" ? "ABORTED" : "";
    connection.in_transaction = false;
    connection.failed = false;
    connection.pending.clear();
    return signature;
  }
  if (connection.failed) {
    code = "MALFORMED";
    return {};
  }
  if (word == "RESET") {
    connection.values.clear();
    connection.prepared.clear();
    return Line("COMPLETE -");
  }
  if (word == "SET" || word == "PREPARE") {
    const std::string name = ConsumeWord(text);
    (word == "SET" ? connection.values : connection.prepared)[name] = text;
    return Line("COMPLETE -");
  }
  if (word == "DEALLOCATE") {
    connection.prepared.erase(text);
    return Line("COMPLETE -");
  }
  if (word == "BEGIN") {
    connection.read_only = text == "READ";
    if (!connection.read_only && !each.primary) {
      code = "READONLY";
      return {};
    }
    connection.in_transaction = true;
    return Line("COMPLETE -");
  }
  if (word == "EXECUTE") {
    const auto found = connection.prepared.find(ConsumeWord(text));
    if (found == connection.prepared.end()) {
      code = "NOSTMT";
      return {};
    }
    word = found->second.starts_with("WRITE") ? "WRITE" : "READ";
  }
  if (word == "READ") {
    if (!TakeSlot(lock, each, options_.read_time)) {
      code = "BUSY";
      return {};
    }
    std::string value = "none";
    const std::size_t visible = Visible(each);
    for (std::size_t i = 0; i < visible; ++i) {
      value = each.log[i].item == text ? each.log[i].data : value;
    }
    for (const log_entry& entry : connection.pending) {
      value = entry.item == text ? entry.data : value;
    }
    return Line("ROW " + value) + signature;
  }
  if (word != "WRITE" && word != "COMMIT") {
    code = "MALFORMED";
    return {};
  }
  const bool commits = word == "COMMIT";
  const bool writes = !commits || !connection.pending.empty();
  if (writes && (!each.primary || connection.read_only)) {
    code = "READONLY";
    return {};
  }
  if (!TakeSlot(lock, each, options_.write_time)) {
    code = "BUSY";
    return {};
  }
  if (!commits) {
    const std::string item = ConsumeWord(text);
    const log_entry entry{0, id, item, text, {}};
    if (connection.in_transaction) {
      connection.pending.push_back(entry);
    } else if (!Commit(lock, index, {entry})) {
      code = "READONLY";
    }
    return signature;
  }
  connection.in_transaction = false;
  std::vector<log_entry> entries = std::exchange(connection.pending, {});
  if (!entries.empty() && !Commit(lock, index, std::move(entries))) {
    code = "READONLY";
  }
  return signature;
}

/// Appends entries to the primary's log, and waits until a replica has them.
/// @return False if the instance is not the primary any more; the entries are
/// not kept then.
bool database_group::Commit(lock_type& lock, std::size_t index,
                            std::vector<log_entry> entries) {
  instance& primary = *instances_.at(index);
  const std::uint64_t term = primary.term;
  const auto receives = [&primary,
                         term](const std::unique_ptr<instance>& other) {
    return other.get() != &primary && other->running &&
           other->paused_term == 0 && !other->primary && other->term == term;
  };
  while (!stopped_ && primary.primary && primary.term == term &&
         std::none_of(instances_.begin(), instances_.end(), receives)) {
    changed_.wait_for(lock, kPollInterval);
    StepDownIfDue(primary);
  }
  if (stopped_ || !primary.primary || primary.term != term) {
    return false;
  }
  for (log_entry& entry : entries) {
    entry.term = term;
    entry.received_at = steady::now();
    primary.log.push_back(entry);
  }
  for (const std::unique_ptr<instance>& other : instances_) {
    if (receives(other)) {
      other->log = primary.log;
    }
  }
  return true;
}

int database_group::Promote(const std::string& id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (Find(id) == instances_.size()) {
    return 409;
  }
  threads_.emplace_back([this, id] {
    Pause(options_.promotion_time);
    TakeEffect(id);
  });
  return 200;
}

void database_group::TakeEffect(const std::string& id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  instance& chosen = *instances_.at(Find(id));
  if (chosen.primary) {
    return;
  }
  std::uint64_t term = 0;
  for (const std::unique_ptr<instance>& each : instances_) {
    term = std::max(term, each->term);
  }
  chosen.primary = true;
  chosen.term = term + 1;
  chosen.paused_term = 0;
  record_.Write("platform: " + id + " leads term " +
                std::to_string(chosen.term) + " with " +
                std::to_string(chosen.log.size()) + " entries");
  for (const std::unique_ptr<instance>& each : instances_) {
    if (each.get() == &chosen) {
      continue;
    }
    if (!each->running) {
      continue;
    }
    if (each->primary) {
      // It reaches the new primary, and learns of it within a second.
      each->steps_down_at = steady::now() + milliseconds(1000);
    } else if (each->paused_term <= chosen.term) {
      Follow(*each);
    }
  }
  changed_.notify_all();
}

std::string database_group::Entry(instance& each) const {
  const json::object entry = {
      {"service", name_},
      {"address", "127.0.0.1:" + std::to_string(each.server->Port())},
      {"zone", each.zone},
      {"version", "v1"},
      {"slots", options_.slots},
      {"state", "ready"},
      {"warmup_left_ms", 0},
      {"db_role", each.primary ? "primary" : "replica"},
      {"sequence", ++each.sequence},
      {"born", each.born}};
  return json::serialize(entry);
}

void database_group::Register(std::size_t index) {
  std::string entry;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    entry = Entry(*instances_.at(index));
  }
  store_.Put("servers/" + Id(index), entry);
}

/// Writes the instance's entry at intervals, and at once when its role changes.
/// The store removes the entry after three intervals without a write.
void database_group::KeepRegistered(std::size_t index) {
  const std::string key = "servers/" + Id(index);
  steady::time_point written_at = steady::now();
  steady::time_point next_at = written_at + options_.heartbeat;
  bool was_primary = index == 0;
  bool was_down = false;
  while (true) {
    Pause(milliseconds(10));
    milliseconds return_delay{0};
    bool is_primary = false;
    bool is_running = true;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (stopped_) {
        return;
      }
      StepDownIfDue(*instances_.at(index));
      is_primary = instances_.at(index)->primary;
      is_running = instances_.at(index)->running;
      return_delay = instances_.at(index)->return_delay;
    }
    const steady::time_point now = steady::now();
    const bool is_down = store_.IsDown();
    if (was_down && !is_down) {
      next_at = now + return_delay;
    }
    was_down = is_down;
    if (now - written_at > 3 * options_.heartbeat && store_.Has(key)) {
      store_.Expire(key);
    }
    const bool is_due = now >= next_at || is_primary != was_primary;
    if (is_down || !is_due || !is_running) {
      continue;
    }
    if (!store_.Has(key)) {
      record_.Write("instance " + Id(index) + ": registers again");
    }
    Register(index);
    written_at = now;
    next_at = now + options_.heartbeat;
    was_primary = is_primary;
  }
}

promotion_service::promotion_service(database_group& group, recorder& record)
    : group_(group),
      record_(record),
      server_(std::make_unique<tcp_server>(
          [this](int descriptor) { Serve(descriptor); })) {}

std::size_t promotion_service::Promotions() { return Orders().size(); }

std::vector<promotion_order> promotion_service::Orders() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return orders_;
}

void promotion_service::OnNextConnection(std::function<void()> callback) {
  server_->OnNextConnection(std::move(callback));
}

void promotion_service::Serve(int descriptor) {
  line_reader reader(descriptor);
  http_request request;
  while (ReadRequest(reader, request)) {
    const json::object body = json::parse(request.body).as_object();
    promotion_order order;
    order.id = std::string(body.at("id").as_string());
    order.holder = request.headers["lease-holder"];
    order.token = std::stoll(request.headers["fencing-token"]);
    const int status = group_.Promote(order.id);
    record_.Write("platform: promote " + order.id + ", holder " + order.holder +
                  ", token " + std::to_string(order.token) + " -> " +
                  std::to_string(status));
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      orders_.push_back(std::move(order));
    }
    Pause(milliseconds(15));
    SendAll(descriptor, FormatResponse(status, "{}"));
  }
}

gateway_process::gateway_process(std::string name, std::string zone,
                                 std::string directory, const store& shared,
                                 const promotion_service& promotions)
    : name_(std::move(name)),
      zone_(std::move(zone)),
      directory_(std::move(directory)),
      store_(shared.Port()),
      promotions_(promotions.Port()),
      callers_(FreePort()),
      probe_(FreePort()),
      peers_(FreePort()) {}

void gateway_process::Start(bool first_start) {
  const std::string path = directory_ + "/" + name_ + ".ini";
  std::ofstream settings(path);
  settings << "[host]\nname = " << name_ << "\navailability_zone = " << zone_
           << "\nfleet_starts = " << (first_start ? "true" : "false")
           << "\nlink_mbps = 1000.0\n[listen]\ncallers = 127.0.0.1:" << callers_
           << "\nprobe = 127.0.0.1:" << probe_
           << "\npeers = 127.0.0.1:" << peers_
           << "\n[platform]\nstore = 127.0.0.1:" << store_
           << "\npromotions = 127.0.0.1:" << promotions_
           << "\n[stop]\ngrace = 6s\n[log]\nlevel = info\n";
  settings.close();
  process_ = std::make_unique<child_process>(
      std::vector<std::string>{"target/sassafraswick_gateway", "--settings",
                               path},
      directory_ + "/" + name_ + ".log");
}

bool gateway_process::IsReady() const {
  const int descriptor = ConnectTo(probe_, milliseconds(1000));
  if (descriptor < 0) {
    return false;
  }
  line_reader reader(descriptor);
  std::string line;
  const bool ready =
      SendAll(descriptor, "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n") &&
      reader.ReadLine(line) && line.starts_with("HTTP/1.1 200");
  close(descriptor);
  return ready;
}

bool gateway_process::WaitReady(milliseconds timeout) const {
  const steady::time_point deadline = steady::now() + timeout;
  while (!IsReady()) {
    if (steady::now() > deadline) {
      return false;
    }
    Pause(milliseconds(50));
  }
  return true;
}

std::string MakeConfiguration(int version, const std::string& service) {
  const auto route = [&service](const char* database, const char* kind,
                                int timeout_ms, int aim_ms, int staleness_ms) {
    json::object row = {{"name", "r-" + std::string(database)},
                        {"host", database},
                        {"prefix", "/"},
                        {"route_type", kind},
                        {"timeout_ms", timeout_ms},
                        {"target_latency_ms", aim_ms},
                        {"priority", 1},
                        {"service", service},
                        {"max_attempts", 2},
                        {"public", false}};
    if (staleness_ms > 0) {
      row["max_staleness_ms"] = staleness_ms;
    }
    return row;
  };
  const auto tenant = [](const char* name, const char* key) {
    return json::object{{"name", name},
                        {"api_keys", json::array{key}},
                        {"priority", 1},
                        {"rate_per_s", 400},
                        {"burst", 400}};
  };
  const json::object document = {
      {"version", version},
      {"routes",
       json::array{route("notice", "primary", 800, 120, 0),
                   route("board", "bounded_staleness", 1500, 400, 1500),
                   route("route", "read_your_writes", 800, 200, 2500)}},
      {"services", json::array{json::object{{"name", service},
                                            {"health_path", "/health"},
                                            {"max_connections", 32},
                                            {"protocol", "h1"},
                                            {"tls", false},
                                            {"sync_replicas", 1}}}},
      {"limits", json::object{{"max_header_bytes", 16384},
                              {"max_body_bytes", 262144},
                              {"header_timeout_ms", 3000},
                              {"idle_timeout_ms", 15000},
                              {"tx_idle_ms", 3000}}},
      {"tenants", json::array{tenant("hauler", "key-hauler"),
                              tenant("county", "key-county")}}};
  return json::serialize(document);
}

}  // namespace review
