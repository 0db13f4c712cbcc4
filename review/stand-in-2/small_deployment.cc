#include "review/stand-in-2/small_deployment.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <boost/json.hpp>
#include <cstdlib>
#include <iostream>
#include <sstream>
#include <utility>

namespace review {
namespace {

namespace json = boost::json;
using test_support::ConnectTo;
using test_support::FreePort;

constexpr const char* kGatewayProgram = "target/sassafraswick_gateway";
constexpr const char* kPoolName = "orders-db";
constexpr const char* kFailoverKey = "sassafraswick/failover";
constexpr std::size_t kInstances = 3;
constexpr milliseconds kReplicaLag(20);
constexpr milliseconds kPromotionTime(600);
constexpr milliseconds kStoreTime(4);
constexpr milliseconds kReadyTimeout(15'000);
constexpr std::size_t kMaxRecorded = 110;
/// Number of first arrivals that are recorded; later, each one in as many.
constexpr std::size_t kRecordedArrivals = 200;

std::string Address(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

bool Receive(int descriptor, std::string& input) {
  std::array<char, 65536> chunk{};
  const ssize_t received = recv(descriptor, chunk.data(), chunk.size(), 0);
  if (received <= 0) {
    return false;
  }
  input.append(chunk.data(), static_cast<std::size_t>(received));
  return true;
}

bool SendAll(int descriptor, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t done = send(descriptor, bytes.data() + sent,
                              bytes.size() - sent, MSG_NOSIGNAL);
    if (done <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(done);
  }
  return true;
}

void DisableDelay(int descriptor) {
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

struct http_request {
  std::string method;
  std::string target;
  std::string head;
  std::string body;
};

/// Reads one request.
/// @return False if the connection ended.
bool ReadRequest(int descriptor, std::string& input, http_request& request) {
  constexpr std::string_view kEnd = "\r\n\r\n";
  constexpr std::string_view kLength = "Content-Length: ";
  while (true) {
    const std::size_t head_end = input.find(kEnd);
    if (head_end != std::string::npos) {
      const std::string head = input.substr(0, head_end);
      const std::size_t length_at = head.find(kLength);
      const std::size_t length =
          length_at == std::string::npos
              ? 0
              : std::stoul(head.substr(length_at + kLength.size()));
      const std::size_t size = head_end + kEnd.size() + length;
      if (input.size() >= size) {
        std::istringstream first(head);
        first >> request.method >> request.target;
        request.head = head;
        request.body = input.substr(head_end + kEnd.size(), length);
        input.erase(0, size);
        return true;
      }
    }
    if (!Receive(descriptor, input)) {
      return false;
    }
  }
}

/// Value of a header; empty if it is missing.
std::string HeaderOf(const http_request& request, const std::string& name) {
  const std::string start = "\r\n" + name + ": ";
  const std::size_t at = request.head.find(start);
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t begin = at + start.size();
  return request.head.substr(begin, request.head.find("\r\n", begin) - begin);
}

void SendResponse(int descriptor, int status, std::uint64_t era,
                  const std::string& body) {
  SendAll(descriptor, "HTTP/1.1 " + std::to_string(status) +
                          " x\r\nStore-Era: " + std::to_string(era) +
                          "\r\nContent-Length: " + std::to_string(body.size()) +
                          "\r\n\r\n" + body);
}

std::string Shorten(const std::string& text) {
  return text.size() <= kMaxRecorded
             ? text
             : text.substr(0, kMaxRecorded) + "... (" +
                   std::to_string(text.size()) + " bytes)";
}

json::object MakeRoute(const std::string& name, const std::string& kind,
                       int timeout_ms, int target_latency_ms) {
  return json::object{{"name", name},
                      {"host", name},
                      {"service", kPoolName},
                      {"route_type", kind},
                      {"max_staleness_ms", 1500},
                      {"timeout_ms", timeout_ms},
                      {"target_latency_ms", target_latency_ms},
                      {"priority", 1},
                      {"public", false}};
}

}  // namespace

case_record::case_record(const std::string& path)
    : started_at_(std::chrono::steady_clock::now()), file_(path) {}

milliseconds case_record::Now() const {
  return std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now() - started_at_);
}

void case_record::Add(const std::string& text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  file_ << Now().count() << " ms  " << text << std::endl;
}

small_deployment::small_deployment(case_record& record, std::string directory,
                                   std::size_t gateways)
    : record_(record),
      directory_(std::move(directory)),
      group_(kPoolName, kInstances, kReplicaLag),
      gateways_(gateways) {
  for (std::size_t i = 0; i < kInstances; ++i) {
    instance_ports_.push_back(
        Listen([this, i](int descriptor) { ServeInstance(i, descriptor); }));
    Register(i, false);
  }
  for (std::size_t i = 0; i < gateways; ++i) {
    gateways_[i].store_port =
        Listen([this, i](int descriptor) { ServeStore(i, descriptor); });
    gateways_[i].promotion_port =
        Listen([this, i](int descriptor) { ServePromotions(i, descriptor); });
    WriteSettings(i);
  }
}

small_deployment::~small_deployment() {
  for (gateway_process& gateway : gateways_) {
    gateway.process.Kill();
  }
  stopped_ = true;
  store_.Stop();
  group_.Stop();
  std::vector<std::thread> threads;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const int descriptor : descriptors_) {
      shutdown(descriptor, SHUT_RDWR);
    }
  }
  // Threads that end may still start others; those find `stopped_`.
  do {
    threads.clear();
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      threads.swap(threads_);
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
  } while (!threads.empty());
}

void small_deployment::KeepThread(std::thread thread) {
  const std::lock_guard<std::mutex> lock(mutex_);
  threads_.push_back(std::move(thread));
}

std::uint16_t small_deployment::Listen(std::function<void(int)> serve) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in wanted = test_support::LoopbackAddress(0);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&wanted),
           sizeof(wanted)) != 0 ||
      listen(listener, SOMAXCONN) != 0) {
    std::cerr << "cannot listen on loopback\n";
    std::exit(kCouldNotRun);
  }
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  getsockname(listener, reinterpret_cast<sockaddr*>(&bound), &size);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    descriptors_.push_back(listener);
    listeners_[ntohs(bound.sin_port)] = listener;
  }
  KeepThread(std::thread([this, listener, serve = std::move(serve)] {
    while (!stopped_) {
      const int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (descriptor < 0) {
        return;
      }
      DisableDelay(descriptor);
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        descriptors_.push_back(descriptor);
      }
      if (stopped_) {
        shutdown(descriptor, SHUT_RDWR);
      }
      KeepThread(std::thread([this, descriptor, serve] {
        serve(descriptor);
        const std::lock_guard<std::mutex> lock(mutex_);
        std::erase(descriptors_, descriptor);
        for (std::pair<const std::size_t, std::set<int>>& each :
             instance_connections_) {
          each.second.erase(descriptor);
        }
        close(descriptor);
      }));
    }
  }));
  return ntohs(bound.sin_port);
}

void small_deployment::ServeStore(std::size_t gateway, int descriptor) {
  std::string input;
  http_request request;
  bool is_silent = false;
  while (ReadRequest(descriptor, input, request)) {
    if (is_silent) {
      continue;
    }
    if (!AwaitHeal(gateway, descriptor)) {
      return;
    }
    test_support::Pause(kStoreTime);
    const test_platform::store_response response =
        store_.HandleRequest(request.method, request.target, request.body);
    if (response.status == 200) {
      ObserveStoreCall(request.target, request.body);
    }
    if (request.target.starts_with("/kv-watch") && TakeLoss(gateway)) {
      is_silent = true;
      record_.Add("store: the answer to a watch of gateway " +
                  std::to_string(gateway) +
                  " is lost; its connection returns nothing further");
      continue;
    }
    SendResponse(descriptor, response.status, response.era, response.body);
  }
}

void small_deployment::LoseNextWatchAnswers() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (std::size_t i = 0; i < gateways_.size(); ++i) {
    loses_.insert(i);
  }
}

std::size_t small_deployment::LostAnswers() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return lost_answers_;
}

bool small_deployment::TakeLoss(std::size_t gateway) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const bool is_lost = loses_.erase(gateway) > 0;
  lost_answers_ += is_lost ? 1 : 0;
  return is_lost;
}

bool small_deployment::AwaitHeal(std::size_t gateway, int descriptor) const {
  while (!stopped_ && cut_ == gateway) {
    test_support::Pause(milliseconds(1));
  }
  int failure = 0;
  socklen_t size = sizeof(failure);
  getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &failure, &size);
  return failure == 0;
}

void small_deployment::ObserveStoreCall(const std::string& target,
                                        const std::string& body) {
  constexpr std::string_view kRenewal = "/kv-keep/";
  const std::lock_guard<std::mutex> lock(mutex_);
  if (target == "/kv-txn") {
    const json::object change = json::parse(body).as_object();
    for (const json::value& write : change.at("writes").as_array()) {
      if (write.at("key").as_string() == kFailoverKey) {
        failover_lease_ =
            std::to_string(write.at("lease").to_number<std::uint64_t>());
      }
    }
  } else if (target.starts_with(kRenewal) &&
             target.substr(kRenewal.size()) == failover_lease_) {
    renewed_at_ = record_.Now();
  }
}

std::size_t small_deployment::FailoverHolder() {
  const std::string value = store_.Value(kFailoverKey);
  const std::string name = value.substr(0, value.find('/'));
  const std::size_t dash = name.find('-');
  return dash == std::string::npos ? kNone : std::stoul(name.substr(dash + 1));
}

milliseconds small_deployment::LastRenewal() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return renewed_at_;
}

std::size_t small_deployment::OrderConnections(std::size_t gateway) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return order_connections_[gateway];
}

milliseconds small_deployment::HeldSince() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return held_since_;
}

std::vector<promotion_order> small_deployment::Orders() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return orders_;
}

void small_deployment::Crash(std::size_t instance) {
  group_.Modify(instance, [](test_platform::group_instance& each) {
    each.running = false;
  });
  record_.Add("instance " + std::to_string(instance) + " crashes");
  const std::lock_guard<std::mutex> lock(mutex_);
  shutdown(listeners_.at(instance_ports_.at(instance)), SHUT_RDWR);
  for (const int descriptor : instance_connections_[instance]) {
    shutdown(descriptor, SHUT_RDWR);
  }
}

void small_deployment::ServePromotions(std::size_t gateway, int descriptor) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++order_connections_[gateway];
  }
  std::string input;
  http_request request;
  while (ReadRequest(descriptor, input, request)) {
    if (cut_ == gateway) {
      const std::lock_guard<std::mutex> lock(mutex_);
      held_since_ = record_.Now();
      record_.Add("cut: holds up an order of gateway " +
                  std::to_string(gateway));
    }
    if (!AwaitHeal(gateway, descriptor)) {
      record_.Add("cut: an order is lost, as its sender reset the connection");
      return;
    }
    promotion_order order;
    order.holder = HeaderOf(request, "Lease-Holder");
    order.token = std::stoull(HeaderOf(request, "Fencing-Token"));
    order.instance = json::parse(request.body).as_object().at("id").as_string();
    order.arrived_at = record_.Now();
    record_.Add("platform: order of " + order.holder + " with token " +
                std::to_string(order.token) + " to promote " + order.instance);
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      orders_.push_back(order);
    }
    SendResponse(descriptor, group_.IsRunning(order.instance) ? 200 : 409, 1,
                 "{}");
    KeepThread(std::thread([this, id = order.instance] { Promote(id); }));
  }
}

void small_deployment::Promote(const std::string& id) {
  test_support::Pause(kPromotionTime);
  static_cast<void>(group_.Promote(id));
  for (std::size_t i = 0; i < kInstances; ++i) {
    Register(i, draining_[i]);
  }
}

void small_deployment::RecordArrival(std::size_t instance,
                                     const std::string& text) {
  std::size_t number = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    number = ++arrivals_;
  }
  if (number <= kRecordedArrivals || number % kRecordedArrivals == 0) {
    record_.Add("instance " + std::to_string(instance) + " gets, as number " +
                std::to_string(number) + ": " + text);
  }
}

void small_deployment::ServeInstance(std::size_t instance, int descriptor) {
  constexpr std::string_view kEnd = "\r\n";
  test_platform::line_connection connection;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    instance_connections_[instance].insert(descriptor);
  }
  std::string input;
  std::size_t scanned = 0;
  while (true) {
    const std::size_t end = input.find(kEnd, scanned);
    if (end == std::string::npos) {
      scanned = input.empty() ? 0 : input.size() - 1;
      if (!Receive(descriptor, input)) {
        return;
      }
      continue;
    }
    scanned = 0;
    const std::string line = input.substr(0, end);
    input.erase(0, end + kEnd.size());
    if (line == "TERMINATE") {
      return;
    }
    std::istringstream words(line);
    std::string word;
    std::string id;
    words >> word >> id;
    if (word == "QUERY" && id != "-") {
      RecordArrival(instance,
                    Shorten(line) + " (for " + connection.organisation + ")");
    }
    const std::string answer = group_.HandleLine(instance, connection, line);
    if (!SendAll(descriptor, answer)) {
      return;
    }
  }
}

void small_deployment::SetReadTime(milliseconds time) {
  for (std::size_t i = 0; i < kInstances; ++i) {
    group_.Modify(i, [time](test_platform::group_instance& each) {
      each.read_time = time;
    });
  }
}

milliseconds small_deployment::Register(std::size_t instance, bool draining) {
  draining_[instance] = draining;
  const std::string id =
      std::string(kPoolName) + "-" + std::to_string(instance);
  const json::object entry = {
      {"service", kPoolName},
      {"address", Address(instance_ports_.at(instance))},
      {"zone", "zone-" + std::to_string(instance)},
      {"version", "v1"},
      {"slots", 3},
      {"state", draining ? "draining" : "ready"},
      {"warmup_left_ms", 0},
      {"db_role", group_.PrimaryIndex() == instance ? "primary" : "replica"},
      {"sequence", 4},
      {"born", 1'700'000'000'000}};
  store_.Put("servers/" + id, json::serialize(entry));
  record_.Add("store: acknowledged that " + id + " is " +
              (draining ? "draining" : "ready"));
  return record_.Now();
}

milliseconds small_deployment::Configure(
    std::uint64_t version, const std::vector<organisation>& organisations) {
  json::array tenants;
  std::string keys;
  for (const organisation& each : organisations) {
    json::array own_keys;
    for (const std::string& key : each.keys) {
      own_keys.push_back(json::value(key));
      keys += " " + key;
    }
    tenants.push_back(json::object{{"name", each.name},
                                   {"api_keys", own_keys},
                                   {"priority", 1},
                                   {"rate_per_s", 113},
                                   {"burst", 113}});
  }
  const json::object document = {
      {"version", version},
      {"routes",
       json::array{MakeRoute("counter", "primary", 1000, 200),
                   MakeRoute("status", "bounded_staleness", 2000, 600),
                   MakeRoute("workshop", "read_your_writes", 1000, 400)}},
      {"services", json::array{json::object{{"name", kPoolName},
                                            {"max_connections", 21},
                                            {"sync_replicas", 1}}}},
      {"limits",
       json::object{{"max_body_bytes", 262'144}, {"tx_idle_ms", 3000}}},
      {"tenants", tenants}};
  store_.Put("op/config", json::serialize(document));
  record_.Add("store: acknowledged configuration " + std::to_string(version) +
              " with the keys" + keys);
  return record_.Now();
}

void small_deployment::WriteSettings(std::size_t gateway) {
  const std::string name = "gateway-" + std::to_string(gateway);
  gateway_process& process = gateways_.at(gateway);
  process.caller_port = FreePort();
  process.probe_port = FreePort();
  process.settings_path = directory_ + "/" + name + ".ini";
  process.log_path = directory_ + "/" + name + ".log";
  // The lines of deploy/settings.ini, filled in as for a small deployment.
  std::ofstream(process.settings_path)
      << "[host]\nname = " << name << "\navailability_zone = zone-"
      << gateway % kInstances
      << "\nfleet_starts = true\nlink_mbps = 1000.0\ncores = 0.25\n"
      << "[listen]\ncallers = " << Address(process.caller_port)
      << "\nprobe = " << Address(process.probe_port)
      << "\npeers = " << Address(FreePort())
      << "\n[platform]\nstore = " << Address(process.store_port)
      << "\npromotions = " << Address(process.promotion_port)
      << "\n[targets]\nleave_within = 7000ms\n[stop]\ngrace = 6s\n"
      << "[limits]\nmemory = 260\ndescriptors = 4300\n[log]\nlevel = info\n";
}

void small_deployment::StartGateway(std::size_t gateway) {
  gateway_process& process = gateways_.at(gateway);
  process.process = test_support::child_process(
      {kGatewayProgram, "--settings", process.settings_path}, process.log_path);
}

bool small_deployment::WaitReady(std::size_t gateway) const {
  const std::uint16_t port = gateways_.at(gateway).probe_port;
  return test_support::WaitFor(kReadyTimeout, [port] {
    const int descriptor = ConnectTo(port);
    if (descriptor < 0) {
      return false;
    }
    std::string input;
    const bool answered =
        SendAll(descriptor, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n") &&
        Receive(descriptor, input);
    close(descriptor);
    return answered && input.starts_with("HTTP/1.1 200");
  });
}

bool small_deployment::Start() {
  if (access(kGatewayProgram, X_OK) != 0) {
    std::cerr << kGatewayProgram << " is missing; build the deploy file\n";
    return false;
  }
  for (std::size_t i = 0; i < gateways_.size(); ++i) {
    StartGateway(i);
  }
  for (std::size_t i = 0; i < gateways_.size(); ++i) {
    if (!WaitReady(i)) {
      std::cerr << "gateway " << i << " is not ready\n";
      return false;
    }
  }
  return true;
}

caller::caller(case_record& record, std::uint16_t port, std::string name)
    : record_(record), name_(std::move(name)), descriptor_(ConnectTo(port)) {
  if (descriptor_ >= 0) {
    DisableDelay(descriptor_);
    const timeval timeout{10, 0};
    setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  }
}

caller::~caller() {
  if (descriptor_ >= 0) {
    close(descriptor_);
  }
}

bool caller::Send(const std::string& line) {
  return descriptor_ >= 0 && SendAll(descriptor_, line + "\r\n");
}

std::string caller::ReadLine() {
  std::size_t end = input_.find("\r\n");
  while (end == std::string::npos) {
    if (descriptor_ < 0 || !Receive(descriptor_, input_)) {
      return {};
    }
    end = input_.find("\r\n");
  }
  std::string line = input_.substr(0, end);
  input_.erase(0, end + 2);
  return line;
}

std::string caller::Start(const std::string& database, const std::string& key,
                          bool is_recorded) {
  Send("START " + database + " " + key);
  std::string answer = ReadLine();
  if (is_recorded) {
    record_.Add(Shorten(name_) + " sent: START " + database + " " + key +
                "; answered: " + answer);
  }
  return answer;
}

std::string caller::Run(const std::string& text, bool is_recorded) {
  last_id_ = name_ + "-" + std::to_string(++statements_);
  if (is_recorded) {
    record_.Add(Shorten(name_) + " sent: QUERY " + Shorten(last_id_) + " " +
                Shorten(text));
  }
  std::string answer;
  bool is_complete = !Send("QUERY " + last_id_ + " " + text);
  while (!is_complete) {
    const std::string line = ReadLine();
    is_complete = line.empty() || line.starts_with("READY");
    answer += answer.empty() || line.empty() ? line : "|" + line;
  }
  if (is_recorded) {
    record_.Add(Shorten(name_) + " answered: " + Shorten(last_id_) + " " +
                Shorten(answer));
  }
  return answer;
}

bool IsSuccess(const std::string& answer) {
  return answer.find("COMPLETE ") != std::string::npos;
}

bool HasTrouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

int RunCase(int argc, char** argv,
            const std::function<int(case_record& record,
                                    const std::string& directory)>& run) {
  if (argc != 3) {
    std::cerr << "usage: " << argv[0] << " RECORD DIRECTORY\n";
    return kCouldNotRun;
  }
  case_record record(argv[1]);
  const int outcome = run(record, argv[2]);
  record.Add(outcome == kHeld     ? "result: the rule held"
             : outcome == kBroken ? "result: the rule was broken"
                                  : "result: the case could not run");
  return outcome;
}

}  // namespace review
