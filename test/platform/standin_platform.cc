#include "test/platform/standin_platform.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <boost/json.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

#include "test/platform/standin_processes.h"

namespace test_platform {
namespace {

using test_support::BuildPath;
using test_support::Pause;

constexpr std::chrono::milliseconds kTimeout(15'000);
constexpr const char* kPoolName = "orders-db";

std::string Address(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

/// Appends received bytes to the input.
/// @return False at the end of the stream or after an error.
bool Receive(int descriptor, std::string& input) {
  std::array<char, 4096> chunk{};
  const ssize_t received = recv(descriptor, chunk.data(), chunk.size(), 0);
  if (received <= 0) {
    return false;
  }
  input.append(chunk.data(), static_cast<std::size_t>(received));
  return true;
}

void SendAll(int descriptor, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t done = send(descriptor, bytes.data() + sent,
                              bytes.size() - sent, MSG_NOSIGNAL);
    if (done <= 0) {
      return;
    }
    sent += static_cast<std::size_t>(done);
  }
}

/// Connects to a loopback port; receiving times out after 10 s.
int ConnectWithReceiveTimeout(std::uint16_t port) {
  const int descriptor = test_support::ConnectTo(port);
  const timeval timeout{10, 0};
  setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  return descriptor;
}

std::string SettingsPath(const std::string& directory, std::size_t gateway) {
  return directory + "/gateway" + std::to_string(gateway) + ".ini";
}

/// Parts of an HTTP request that the stand-in uses.
struct http_request {
  std::string method;
  std::string target;
  std::string body;
  std::string head;
};

/// Value of a header; empty if it is missing.
std::string HeaderValue(const http_request& request, const std::string& name) {
  const std::string start = "\r\n" + name + ": ";
  const std::size_t at = request.head.find(start);
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t begin = at + start.size();
  return request.head.substr(begin, request.head.find("\r\n", begin) - begin);
}

promotion_request ToPromotionRequest(const http_request& request) {
  promotion_request promotion;
  promotion.id = json::parse(request.body).as_object().at("id").as_string();
  promotion.host = HeaderValue(request, "Lease-Holder");
  const std::string token = HeaderValue(request, "Fencing-Token");
  promotion.token = token.empty() ? 0 : std::stoll(token);
  promotion.received_at = monotonic_clock::now();
  return promotion;
}

/// Removes a complete request from the input.
/// @return False if the input holds no complete request.
bool ExtractRequest(std::string& input, http_request& request) {
  const std::size_t head_end = input.find("\r\n\r\n");
  if (head_end == std::string::npos) {
    return false;
  }
  constexpr std::string_view kLength = "Content-Length: ";
  const std::size_t length_at = input.substr(0, head_end).find(kLength);
  const std::size_t length =
      length_at == std::string::npos
          ? 0
          : std::stoul(input.substr(length_at + kLength.size()));
  if (input.size() < head_end + 4 + length) {
    return false;
  }
  request.head = input.substr(0, head_end);
  std::istringstream first(request.head);
  first >> request.method >> request.target;
  request.body = input.substr(head_end + 4, length);
  input.erase(0, head_end + 4 + length);
  return true;
}

}  // namespace

std::string GatewayProgram() { return BuildPath("sassafraswick_gateway"); }

standin_platform::standin_platform(const standin_options& options)
    : options_(options), group_(kPoolName, 3, options.replica_lag) {
  std::array<char, 32> name{"/tmp/sassafraswick-XXXXXX"};
  directory_ = mkdtemp(name.data());
  http_listener_ = Listen();
  threads_.emplace_back([this] { Accept(http_listener_, 0, false); });
  instance_connections_.resize(group_.Size());
  for (std::size_t i = 0; i < group_.Size(); ++i) {
    instances_.push_back(Listen());
    instance_ports_.push_back(
        MakeProxiedPort("target-" + std::to_string(i), instances_.back().port));
    PublishEntry(i);
  }
  for (std::size_t i = 0; i < group_.Size(); ++i) {
    threads_.emplace_back(
        [this, i, listener = instances_[i]] { Accept(listener, i, true); });
  }
  if (options_.entry_lifetime > std::chrono::milliseconds(0)) {
    threads_.emplace_back([this] { KeepEntries(); });
  }
  PublishConfiguration(1, "\"key-one\",\"key-two\"");
  for (std::size_t i = 0; i < options.gateways; ++i) {
    WriteSettings(i);
  }
  StartFaultProxy();
  gateways_.resize(options.gateways);
  options_.programs.resize(options.gateways, GatewayProgram());
  for (std::size_t i = 0; i < options.gateways; ++i) {
    RestartGateway(i);
  }
}

standin_platform::~standin_platform() {
  for (test_support::child_process& gateway : gateways_) {
    gateway.Kill();
  }
  stopped_ = true;
  store_.Stop();
  group_.Stop();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const int descriptor : open_connections_) {
      shutdown(descriptor, SHUT_RDWR);
    }
  }
  shutdown(http_listener_.descriptor, SHUT_RDWR);
  for (const listening_socket& instance : instances_) {
    shutdown(instance.descriptor, SHUT_RDWR);
  }
  for (std::size_t i = 0; i < threads_.size(); ++i) {
    std::thread joined;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      joined = std::move(threads_[i]);
    }
    joined.join();
  }
  if (!keeps_directory_) {
    std::filesystem::remove_all(directory_);
  }
}

void standin_platform::PublishConfiguration(std::uint64_t version,
                                            const std::string& keys,
                                            std::size_t extra_routes) {
  const auto route = [this](const std::string& name, const char* kind) {
    return json::object{{"name", name},
                        {"host", name},
                        {"service", group_.Name()},
                        {"route_type", kind},
                        {"max_staleness_ms", 1500},
                        {"timeout_ms", 2000},
                        {"target_latency_ms", 4000}};
  };
  json::array tenants{json::object{{"name", "gallery"},
                                   {"api_keys", json::parse("[" + keys + "]")},
                                   {"rate_per_s", 1000},
                                   {"burst", 1000}}};
  if (options_.limited_rate > 0) {
    constexpr std::array<std::pair<const char*, const char*>, 2> kLimited{
        {{"joinery", "key-three"}, {"glazier", "key-four"}}};
    for (const std::pair<const char*, const char*>& each : kLimited) {
      tenants.push_back(json::object{{"name", each.first},
                                     {"api_keys", json::array{each.second}},
                                     {"rate_per_s", options_.limited_rate},
                                     {"burst", options_.limited_rate}});
    }
  }
  json::array routes{route("counter", "primary"),
                     route("status", "bounded_staleness"),
                     route("workshop", "read_your_writes")};
  for (std::size_t i = 0; i < extra_routes; ++i) {
    routes.push_back(route("branch" + std::to_string(i), "primary"));
  }
  const json::object document = {
      {"version", version},
      {"routes", routes},
      {"services",
       json::array{json::object{{"name", group_.Name()},
                                {"max_connections", options_.max_connections},
                                {"sync_replicas", 1}}}},
      {"limits", json::object{{"tx_idle_ms", 3000}}},
      {"tenants", tenants}};
  configured_version_ = version;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    configuration_ = json::serialize(document);
  }
  store_.Put("op/config", json::serialize(document));
}

void standin_platform::RestoreStore() {
  constexpr std::chrono::milliseconds kOutage(200);
  constexpr std::chrono::milliseconds kRewriteDelay(500);
  store_.SetDown(true);
  Pause(kOutage);
  store_.RestoreCopy();
  store_.SetDown(false);
  Pause(kRewriteDelay);
  std::string configuration;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    configuration = configuration_;
  }
  store_.Put("op/config", configuration);
  PublishEntries();
}

void standin_platform::Accept(const listening_socket& listener,
                              std::size_t index, bool line_protocol) {
  while (!stopped_) {
    const int descriptor =
        accept4(listener.descriptor, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) {
      return;
    }
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::lock_guard<std::mutex> lock(mutex_);
    open_connections_.insert(descriptor);
    if (line_protocol) {
      instance_connections_.at(index).insert(descriptor);
    }
    threads_.emplace_back([this, index, line_protocol, descriptor] {
      if (line_protocol) {
        ServeLineProtocol(index, descriptor);
      } else {
        ServeHttp(descriptor);
      }
      const std::lock_guard<std::mutex> done(mutex_);
      open_connections_.erase(descriptor);
      instance_connections_.at(index).erase(descriptor);
      close(descriptor);
    });
  }
}

void standin_platform::ServeHttp(int descriptor) {
  std::string input;
  http_request request;
  bool is_dark = false;
  while (true) {
    while (!ExtractRequest(input, request)) {
      if (!Receive(descriptor, input)) {
        return;
      }
    }
    store_response response;
    if (request.target == "/promote") {
      response = HandlePromotion(ToPromotionRequest(request));
    } else {
      response =
          store_.HandleRequest(request.method, request.target, request.body);
    }
    is_dark = is_dark || response.lost;
    if (is_dark) {
      continue;
    }
    SendAll(descriptor,
            "HTTP/1.1 " + std::to_string(response.status) +
                " x\r\nStore-Era: " + std::to_string(response.era) +
                "\r\nContent-Length: " + std::to_string(response.body.size()) +
                "\r\n\r\n" + response.body);
  }
}

bool standin_platform::IsAtCapacity(std::size_t index) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return options_.limits_connections &&
         instance_connections_.at(index).size() > options_.max_connections;
}

void standin_platform::ServeLineProtocol(std::size_t index, int descriptor) {
  line_connection connection;
  std::string input;
  while (true) {
    const std::size_t end = input.find("\r\n");
    if (end == std::string::npos) {
      if (!Receive(descriptor, input)) {
        return;
      }
      continue;
    }
    const std::string line = input.substr(0, end);
    input.erase(0, end + 2);
    if (line == "TERMINATE") {
      return;
    }
    if (line.starts_with("START ") && IsAtCapacity(index)) {
      SendAll(descriptor, "ERROR TOOMANY\r\n");
      return;
    }
    SendAll(descriptor, group_.HandleLine(index, connection, line));
    if (connection.ended) {
      return;
    }
  }
}

std::uint16_t standin_platform::MakeProxiedPort(const std::string& name,
                                                std::uint16_t port) {
  if (!options_.with_faults) {
    return port;
  }
  const std::uint16_t listen = test_support::FreePort();
  link_arguments_.push_back("--link");
  link_arguments_.push_back(name + "=" + Address(listen) + "=" + Address(port));
  return listen;
}

void standin_platform::StartFaultProxy() {
  if (!options_.with_faults) {
    return;
  }
  control_port_ = test_support::FreePort();
  std::vector<std::string> arguments{BuildPath("standin/fault_proxy"),
                                     "--control", Address(control_port_)};
  arguments.insert(arguments.end(), link_arguments_.begin(),
                   link_arguments_.end());
  fault_proxy_ =
      test_support::child_process(arguments, directory_ + "/faults.log");
  static_cast<void>(test_support::WaitForPort(control_port_, kTimeout));
}

void standin_platform::SendFaultCommand(const std::string& line) const {
  test_support::SendFault(control_port_, line);
}

void standin_platform::WriteSettings(std::size_t index) {
  caller_ports_.push_back(test_support::FreePort());
  probe_ports_.push_back(test_support::FreePort());
  const std::uint16_t store =
      MakeProxiedPort("store-" + std::to_string(index), http_listener_.port);
  std::ofstream settings(SettingsPath(directory_, index));
  settings << "[host]\nname = gateway-" << index
           << "\navailability_zone = zone-" << index % options_.zones
           << "\ncores = 0.25\n[listen]\ncallers = "
           << Address(caller_ports_.back())
           << "\nprobe = " << Address(probe_ports_.back())
           << "\npeers = " << Address(test_support::FreePort())
           << "\n[platform]\nstore = " << Address(store)
           << "\npromotions = " << Address(store)
           << "\n[stop]\ngrace = 4s\n[log]\nlevel = info\n"
           << options_.settings_lines;
}

void standin_platform::RestartGateway(std::size_t index) {
  gateways_.at(index) = test_support::child_process(
      {options_.programs.at(index), "--settings",
       SettingsPath(directory_, index)},
      directory_ + "/gateway" + std::to_string(index) + ".log");
}

void standin_platform::SetProgram(std::size_t index,
                                  const std::string& program) {
  options_.programs.at(index) = program;
}

bool standin_platform::IsReady(std::size_t gateway) const {
  const int descriptor = ConnectWithReceiveTimeout(probe_ports_.at(gateway));
  if (descriptor < 0) {
    return false;
  }
  SendAll(descriptor, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
  std::string input;
  const bool responded = Receive(descriptor, input);
  close(descriptor);
  return responded && input.starts_with("HTTP/1.1 200");
}

std::int64_t standin_platform::Metric(std::size_t gateway,
                                      const std::string& name) const {
  const int descriptor = ConnectWithReceiveTimeout(probe_ports_.at(gateway));
  if (descriptor < 0) {
    return -1;
  }
  SendAll(descriptor,
          "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  std::string input;
  const std::string line = "\nsassafraswick_" + name + " ";
  std::size_t at = std::string::npos;
  while (at == std::string::npos ||
         input.find('\n', at + line.size()) == std::string::npos) {
    if (!Receive(descriptor, input)) {
      break;
    }
    at = input.find(line);
  }
  close(descriptor);
  return at == std::string::npos ? -1
                                 : std::stoll(input.substr(at + line.size()));
}

bool standin_platform::WaitReady() {
  for (std::size_t i = 0; i < gateways_.size(); ++i) {
    if (!test_support::WaitFor(kTimeout, [this, i] { return IsReady(i); })) {
      return false;
    }
  }
  return true;
}

std::string standin_platform::GatewayLog(std::size_t gateway) const {
  std::ostringstream text;
  text << std::ifstream(directory_ + "/gateway" + std::to_string(gateway) +
                        ".log")
              .rdbuf();
  return text.str();
}

line_client::line_client(std::uint16_t port)
    : descriptor_(ConnectWithReceiveTimeout(port)) {}

line_client::~line_client() { close(descriptor_); }

void line_client::Send(const std::string& line) {
  SendAll(descriptor_, line + "\r\n");
}

std::string line_client::ReadLine() {
  std::size_t end = input_.find("\r\n");
  while (end == std::string::npos) {
    if (!Receive(descriptor_, input_)) {
      return {};
    }
    end = input_.find("\r\n");
  }
  std::string line = input_.substr(0, end);
  input_.erase(0, end + 2);
  return line;
}

std::string line_client::Start(const std::string& database,
                               const std::string& key) {
  Send("START " + database + " " + key);
  return ReadLine();
}

std::string line_client::Run(const std::string& text) {
  Send("QUERY q" + std::to_string(++last_id_) + " " + text);
  std::string response;
  while (true) {
    const std::string line = ReadLine();
    response += response.empty() ? line : "|" + line;
    if (line.empty() || line.starts_with("READY")) {
      return response;
    }
  }
}

}  // namespace test_platform
