#ifndef REVIEW_STANDIN_PLATFORM_H_
#define REVIEW_STANDIN_PLATFORM_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "review/standin/net.h"

/// @file
/// Stand-ins for the platform: its store, the call that promotes an instance,
/// and one database group whose instances register themselves in the store.

namespace review {

/// The platform's store: keys, leases, watches and conditional writes.
class store {
 public:
  explicit store(recorder& record);
  store(const store&) = delete;
  store& operator=(const store&) = delete;
  ~store();

  [[nodiscard]] std::uint16_t Port() const { return server_->Port(); }

  /// While the store is down it answers 503 to every call, and leases go on to
  /// run out.
  void SetDown(bool down);
  [[nodiscard]] bool IsDown();

  /// Writes as the operator or an instance does.
  /// @return False while the store is down.
  bool Put(const std::string& key, const std::string& value);
  /// Removes an entry, also while the store is down.
  void Expire(const std::string& key);
  [[nodiscard]] bool Has(const std::string& key);
  /// Value of a key; empty if there is none.
  [[nodiscard]] std::string Value(const std::string& key);

 private:
  struct item {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct lease {
    milliseconds ttl{0};
    steady::time_point ends_at;
  };
  struct event {
    std::int64_t revision = 0;
    std::string key;
    bool deleted = false;
    item written;
  };
  struct response {
    int status = 200;
    std::string body = "{}";
  };

  void Serve(int descriptor);
  response Handle(const std::string& method, const std::string& target,
                  const std::string& body);
  response Key(const std::string& target);
  response Range(const std::string& target);
  response Watch(std::unique_lock<std::mutex>& lock, const std::string& target);
  response Transact(const std::string& body);
  response GrantLease(const std::string& body);
  response KeepLease(std::uint64_t id);
  void Write(const std::string& key, const std::string& value,
             std::uint64_t lease_id);
  void Erase(const std::string& key);
  void EndLease(std::uint64_t id);
  void EndDueLeases();

  recorder& record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, item> items_;
  std::map<std::uint64_t, lease> leases_;
  std::vector<event> events_;
  std::int64_t revision_ = 1;
  std::uint64_t next_lease_ = 77'000;
  bool down_ = false;
  bool stopped_ = false;
  std::unique_ptr<tcp_server> server_;
};

/// A committed write.
struct log_entry {
  std::uint64_t term = 0;
  /// Identifier of the statement that committed it.
  std::string request;
  std::string item;
  std::string data;
  steady::time_point received_at;
};

/// How a database group behaves.
struct group_options {
  std::size_t slots = 2;
  /// Statements that may wait for a slot.
  std::size_t queue = 16;
  std::size_t max_connections = 32;
  milliseconds connect_time{12};
  /// Time that a read, write or commit takes.
  milliseconds read_time{14};
  milliseconds write_time{5};
  milliseconds replica_lag{8};
  milliseconds promotion_time{600};
  milliseconds heartbeat{1200};
  std::vector<std::string> zones{"ga-east-a", "ga-east-b", "ga-east-c"};
};

/// One connection from the system to an instance.
struct instance_connection {
  std::string tenant;
  bool started = false;
  bool in_transaction = false;
  bool read_only = false;
  bool failed = false;
  std::map<std::string, std::string> values;
  std::map<std::string, std::string> prepared;
  std::vector<log_entry> pending;
};

/// What an instance did with a statement of a client.
struct run_report {
  std::size_t instance = 0;
  std::string request;
  std::string text;
  /// Values of the connection on which it ran.
  std::map<std::string, std::string> values;
  /// False if the instance answered with an error.
  bool succeeded = false;
  /// Error code; empty after a success.
  std::string code;
};

/// A database group: one primary and its replicas, with terms and logs.
class database_group {
 public:
  /// Decides whether an instance fails a statement.
  /// @return True to answer `FAILED`.
  using failure_choice =
      std::function<bool(std::size_t instance, const std::string& text)>;

  database_group(std::string name, const group_options& options, store& shared,
                 recorder& record);
  database_group(const database_group&) = delete;
  database_group& operator=(const database_group&) = delete;
  ~database_group();

  [[nodiscard]] const std::string& Name() const { return name_; }
  [[nodiscard]] std::size_t Size() const { return instances_.size(); }
  [[nodiscard]] std::string Id(std::size_t index) const;
  /// Position of an identifier, or `Size()`.
  [[nodiscard]] std::size_t Find(const std::string& id) const;

  /// Starts a promotion. It takes effect after the promotion time.
  /// @return Status of the platform's response.
  int Promote(const std::string& id);

  /// Called with every statement of a client that an instance received.
  void SetObserver(std::function<void(const run_report&)> observer);
  void SetFailures(failure_choice fails);
  /// Ends the process of an instance: its port refuses connections.
  void Crash(std::size_t index);
  /// Starts it again with its log, as a replica if another one leads by now.
  void Restart(std::size_t index);
  /// Sets when an instance writes its entry again after the store's return.
  void SetReturnDelay(std::size_t index, milliseconds delay);

  [[nodiscard]] std::vector<log_entry> Log(std::size_t index);
  /// Index of the primary of the highest term.
  [[nodiscard]] std::size_t PrimaryIndex();
  [[nodiscard]] std::uint64_t Term(std::size_t index);
  /// Status of an instance, as in its response to `STATUS`.
  [[nodiscard]] std::string Status(std::size_t index);

 private:
  struct instance {
    std::string id;
    std::string zone;
    std::unique_ptr<tcp_server> server;
    bool primary = false;
    bool running = true;
    std::uint64_t term = 3;
    std::uint64_t paused_term = 0;
    std::vector<log_entry> log;
    /// When a replaced primary learns of its successor.
    std::optional<steady::time_point> steps_down_at;
    std::size_t busy = 0;
    std::size_t waiting = 0;
    std::size_t connections = 0;
    std::uint64_t sequence = 0;
    std::int64_t born = 0;
    milliseconds return_delay{0};
  };
  using lock_type = std::unique_lock<std::mutex>;

  void Serve(std::size_t index, int descriptor);
  std::string Start(lock_type& lock, std::size_t index,
                    instance_connection& connection, const std::string& rest);
  std::string Run(lock_type& lock, std::size_t index,
                  instance_connection& connection, const std::string& id,
                  const std::string& text);
  std::string RunControl(instance& each, const std::string& word,
                         const std::string& rest);
  std::string Execute(lock_type& lock, std::size_t index,
                      instance_connection& connection, const std::string& id,
                      std::string text, std::string& code);
  bool TakeSlot(lock_type& lock, instance& each, milliseconds time);
  bool Commit(lock_type& lock, std::size_t index,
              std::vector<log_entry> entries);
  std::string Ready(const instance& each,
                    const instance_connection& connection) const;
  [[nodiscard]] std::size_t Visible(const instance& each) const;
  [[nodiscard]] static std::string StatusRow(const instance& each);
  void StepDownIfDue(instance& each);
  void Follow(instance& each);
  void TakeEffect(const std::string& id);
  [[nodiscard]] std::string Entry(instance& each) const;
  void Register(std::size_t index);
  void KeepRegistered(std::size_t index);

  std::string name_;
  group_options options_;
  store& store_;
  recorder& record_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::unique_ptr<instance>> instances_;
  std::function<void(const run_report&)> observer_;
  failure_choice fails_;
  std::mt19937 random_{std::random_device()()};
  bool stopped_ = false;
  std::vector<std::thread> threads_;
};

/// One call of `POST /promote`.
struct promotion_order {
  std::string id;
  std::string holder;
  std::int64_t token = 0;
};

/// The platform's call `POST /promote`. It does not check fencing tokens.
class promotion_service {
 public:
  promotion_service(database_group& group, recorder& record);

  [[nodiscard]] std::uint16_t Port() const { return server_->Port(); }
  [[nodiscard]] std::size_t Promotions();
  /// The orders in the sequence in which they arrived.
  [[nodiscard]] std::vector<promotion_order> Orders();
  /// Called once, as soon as the next connection is accepted.
  void OnNextConnection(std::function<void()> callback);

 private:
  void Serve(int descriptor);

  database_group& group_;
  recorder& record_;
  std::mutex mutex_;
  std::vector<promotion_order> orders_;
  std::unique_ptr<tcp_server> server_;
};

/// A process of the system, started with the command of the deploy file.
class gateway_process {
 public:
  /// @param directory Folder for its settings and its log.
  gateway_process(std::string name, std::string zone, std::string directory,
                  const store& shared, const promotion_service& promotions);

  /// Starts the process.
  /// @param first_start The whole system starts for the first time.
  void Start(bool first_start);
  [[nodiscard]] child_process& Process() { return *process_; }
  [[nodiscard]] std::uint16_t Port() const { return callers_; }
  [[nodiscard]] const std::string& Name() const { return name_; }
  [[nodiscard]] bool IsReady() const;
  [[nodiscard]] bool WaitReady(milliseconds timeout) const;

 private:
  std::string name_;
  std::string zone_;
  std::string directory_;
  std::uint16_t store_;
  std::uint16_t promotions_;
  std::uint16_t callers_;
  std::uint16_t probe_;
  std::uint16_t peers_;
  std::unique_ptr<child_process> process_;
};

/// A configuration with one route of each kind, `notice`, `board` and `route`,
/// for a group. The tenants `hauler` and `county` have the keys `key-hauler`
/// and `key-county`.
std::string MakeConfiguration(int version, const std::string& service);

}  // namespace review

#endif  // REVIEW_STANDIN_PLATFORM_H_
