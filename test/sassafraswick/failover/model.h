#ifndef TEST_SASSAFRASWICK_FAILOVER_MODEL_H_
#define TEST_SASSAFRASWICK_FAILOVER_MODEL_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "test/sassafraswick/failover/model_types.h"
#include "test/sassafraswick/failover/promotion_model.h"

/// @file
/// The simulation behind `RunSimulation`. Its parts are defined in
/// `model_*.cc`.

namespace promotion_model {

class model {
 public:
  explicit model(const model_options& options)
      : options_(options), random_(options.seed), now_(milliseconds(1000)) {}

  model_report Run();

 private:
  struct event {
    time_point at;
    std::uint64_t order = 0;
    std::function<void()> work;
    friend bool operator<(const event& left, const event& right) {
      return std::tie(left.at, left.order) > std::tie(right.at, right.order);
    }
  };

  void After(duration span, std::function<void()> work);

  /// Schedules work at a host; while the host is paused, the work is deferred.
  void AtHost(host& self, duration span, std::function<void()> work);

  duration RandomDuration(duration max_duration);

  bool Chance(int percent);

  /// Returns the delay of a message; a small fraction is delayed by much more.
  duration MessageDelay();

  bool IsPartitioned(const std::string& one, const std::string& other) const;

  void Trace(const std::string& text);

  void ReportViolation(const std::string& text);

  [[nodiscard]] std::int64_t Milliseconds() const;

  instance& Find(const std::string& id);

  // Database group.

  [[nodiscard]] static status_response MakeResponse(const instance& each);

  void ApplyLog(instance& each);

  void Write(instance& primary, std::function<void(log_point)> acknowledge);

  /// Sends the primary's whole log to each replica that accepts entries.
  void Replicate(instance& primary);

  /// Handles a replica's confirmation of the primary's log up to `end`.
  void ConfirmReplication(instance& primary, term_number term, std::size_t end);

  /// Carries out an order, unless its process has ended.
  void CompletePromotion(instance& chosen);

  /// Checks that a promoted instance has every acknowledged write.
  void CheckPromoted(const instance& chosen);

  /// Returns an instance that has a write, and either runs and was listed or
  /// returns with its log; null if there is none.
  [[nodiscard]] const instance* FindHolderOf(std::uint64_t number) const;

  // Processes of instances.

  [[nodiscard]] std::string NextId();
  [[nodiscard]] std::uint16_t NextAddress();

  /// Adds a process with an empty log.
  instance& AddInstance(const std::string& id, std::uint16_t address);

  /// Starts a process that copies its log from the primary.
  instance& StartInstance(const std::string& id, std::uint16_t address);

  /// Starts a process at the address of one that has ended, with its log.
  void StartSuccessor(instance& ended);

  /// Lets a process join the newest primary that it reaches.
  void JoinAnyPrimary(instance& each);

  void End(instance& each);

  /// Ends a process; another one starts at its address with its log.
  void CrashAndReturn(instance& each, duration length);

  /// Ends a process; another one starts under its identifier with no log.
  void CrashAndForget(instance& each, duration length);

  /// Ends a process in one of the ways above.
  void CrashAnyhow(instance& each, duration length);

  /// Replaces an instance by a new one, as in a release.
  void Release(instance& each, duration length);

  // The list of instances.

  [[nodiscard]] static sassafraswick::target_record MakeRecord(
      const instance& each);
  void Beat(instance& each);

  /// Writes an instance's entry.
  /// @return False if the store is unavailable.
  bool Register(instance& each);
  void RemoveLapsedEntries();
  void PublishList();
  void NotifyOfList(host& to);
  void ReadList(host& self);
  void ApplyList(host& self, const list_copy& list);
  void ApplyEntry(host& self, const sassafraswick::target_record& record);
  void RemoveMissing(host& self);

  /// Notes when the list that a host knows is current.
  void ConfirmList(host& self) const;
  void CheckClaims(host& self);

  /// Makes an instance join the new primary once it can reach it. An old
  /// primary joins after an additional delay.
  void JoinNewPrimary(instance& each, instance& primary);

  // Requests from hosts to instances.

  /// Sends a request that has an effect on an instance. Calls `on_response`
  /// with the response, or with nothing after `kControlTimeout`.
  void SendRequest(
      host& from, const std::string& id, std::function<void(instance&)> effect,
      std::function<void(std::optional<status_response>)> on_response);

  /// Returns since when a host is connected to the process that answers.
  time_point ContactSince(host& from, const instance& to) const;

  /// Answers for a process that has ended, if its port is closed or another
  /// process listens at its address.
  void AnswerForEnded(host& from, const instance& ended,
                      time_point requested_at, std::function<void()> complete);

  void RecordEnded(known_target& target, bool is_replaced,
                   time_point requested_at) const;

  /// Begins to track the process that runs an instance from now on.
  void BeginProcess(known_target& target, const std::string& id) const;

  /// Forgets what a host knows of an instance's earlier process.
  void HandleProcessChange(host& self, known_target& target);

  /// Records the status of an instance, or that it did not respond.
  void RecordStatus(host& self, const std::string& id,
                    const status_response& response, time_point requested_at);

  void RecordSilence(host& self, const std::string& id,
                     time_point requested_at);

  /// Returns whether a response may be of an earlier process than the known.
  [[nodiscard]] bool IsOfEarlierProcess(const host& self, const std::string& id,
                                        time_point requested_at) const;

  /// Requests the status of each instance that was not asked recently.
  void RequestDueStatuses(host& self);

  void RecordResponse(host& self, const std::string& id,
                      const status_response& response, time_point requested_at);

  void RequestStatus(
      host& self, const std::string& id,
      std::function<void(std::optional<status_response>)> on_response = nullptr,
      std::function<void(instance&)> effect = [](instance&) {});

  // Periodic work of hosts.

  void Tick(host& self);
  [[nodiscard]] bool HoldsFailover(const host& self) const;
  void Watch(host& self);

  [[nodiscard]] static sassafraswick::group_health GroupHealth(
      const host& self);

  /// Asks the other hosts to make a primary step down.
  void RelayStepDown(host& self, const replacement_action& action);

  /// Asks the other hosts what they have passed on.
  void AskAcknowledged(host& self);

  void RecordFenceStatus(host& self, const replacement_action& action,
                         const instance_status& status);

  /// Reads what earlier holders ordered after this host has claimed the
  /// failover lease.
  void BeginClaim(host& self);
  void EndClaim(host& self);
  void ReadEarlierOrder(host& self, sassafraswick::store_revision claim);

  /// Revision of the record of an order in the store; zero if there is none.
  [[nodiscard]] std::int64_t OrderRevision() const;
  /// Returns whether an order may be sent once it is recorded.
  [[nodiscard]] bool MaySendRecorded(const host& self,
                                     const order_write& write) const;
  /// Writes the record of an order. Calls `on_done` with false if the order is
  /// given up before it is written.
  void WriteOrder(host& self, std::function<void(bool)> on_done);
  void TryWriteOrder(host& self, const std::shared_ptr<order_write>& write);
  void AttemptOrderWrite(host& self, const std::shared_ptr<order_write>& write);
  /// Removes the record of an order that was not sent.
  void DiscardOrder(host& self, const order_write& write, time_point until);
  void EraseOrder(host& self);

  /// Sends an order to the platform. It or its response may be lost.
  void SendOrder(host& self, const replacement_action& action,
                 std::int64_t token);
  /// Draws the time from an order to its effect.
  duration PromotionDelay();
  /// Traces what a host knows when it orders a promotion.
  void TraceKnowledge(const host& self);
  void ApplyAction(instance& to, const replacement_action& action);
  void RecordOrder(host& self, const replacement_action& action,
                   sassafraswick::order_result outcome);
  void ExecuteAction(host& self, const replacement_action& action);

  /// Replicates from all primaries, so that a replica that accepts entries
  /// again catches up and pending writes complete.
  void ReplicateAll();

  void Promote(host& self, replacement_action action);

  // Store and leases.

  /// Calls the store. A call whose response is lost may still take effect, up
  /// to seconds later.
  void CallStore(host& from, std::function<bool()> effect,
                 std::function<void(bool answered, bool applied)> on_response);

  /// Era that hosts read from the store's responses.
  [[nodiscard]] sassafraswick::store_era StoreEra() const;
  void ObserveEra(host& self, sassafraswick::store_era era);

  /// Reads the holder of the failover lease again in a new era.
  void ReadRegistry(host& self);

  /// Keeps copies of the store, from which `RestoreStore` restores it.
  void CopyStore();

  /// Restores the store from an older copy, after it was unavailable.
  void RestoreStore(duration unavailable);

  [[nodiscard]] sassafraswick::store_item HolderItem() const;

  void MaintainLease(host& self);

  void ReleaseStrayRecord(host& self);

  void ClaimFailover(host& self);

  /// Notifies every host that can reach the store of the failover lease's
  /// holder.
  void PublishHolder();

  void Notify(host& to, const sassafraswick::store_item& item);

  void ExpireLeases();

  // Operations of callers.

  void RunOperation(host& self);

  void SendWrite(host& self);

  /// Handles the response to a write.
  void Acknowledge(host& self, held_acknowledgement held, log_point end,
                   time_point requested_at);

  /// Acknowledges a write to the caller once that is proved to be allowed. At
  /// the deadline its result is in doubt.
  void PassOn(host& self, const held_acknowledgement& held);

  void RecordAcknowledged(host& self, const held_acknowledgement& held);

  /// Returns writes acknowledged before `moment`, which a read must contain.
  [[nodiscard]] std::vector<std::uint64_t> RequiredWrites(
      time_point moment) const;

  /// Returns a required write that is not visible on an instance, if any.
  [[nodiscard]] std::optional<std::uint64_t> FindMissingWrite(
      const instance& source, const std::vector<std::uint64_t>& required);

  void SendPrimaryRead(host& self);

  /// Completes a read once the primary lease is valid, as a host does. Retries
  /// until then, for up to 2 s.
  void CompleteRead(host& self, const std::string& id, term_number term,
                    time_point requested_at,
                    const std::optional<std::uint64_t>& missing);

  void SendBoundedRead(host& self);

  // Proofs of leadership and of replication.

  /// Requests a proof for a commit that is about to be sent.
  void PrepareCommit(host& self);

  void RequestProof(host& self);

  void RequestReplicationProof(host& self);

  void EndProof(host& self, bool replicates);

  /// Instance that a host takes for the primary; empty if there is none.
  [[nodiscard]] static std::string KnownPrimary(const host& self);

  void CheckReplication(host& self, const std::string& primary,
                        term_number term, std::function<void(bool)> on_result);

  [[nodiscard]] bool IsWitnessBy(const host& self, const std::string& id,
                                 const instance_status& status,
                                 time_point requested_at) const;

  /// Asks one instance after another, until one is a proof or all are asked.
  void AskNext(host& self, const std::shared_ptr<replication_check>& check,
               std::size_t index);

  // Fault injection.

  void InjectFault();

  /// Draws the kind of the next fault.
  int PickFault();

  /// Crashes a replica and then the primary.
  void CrashBoth(instance& primary, instance& replica, duration between,
                 duration length);

  /// Partitions the primary from all other instances, and lets another start
  /// then.
  void JoinCutOff(const instance& primary, instance& other, duration length);

  /// Draws the time from an instance's start to its first entry.
  duration EntryDelay();

  /// Lets responses to orders get lost, while a replica is partitioned from
  /// the holder of the failover lease.
  void LoseOrders(host& holder, instance& replica, duration length);

  host& Holder();

  /// Returns an instance that runs or is to return; the primary if there is
  /// one and it is asked for.
  instance& PickInstance(bool wants_primary);

  void Crash(instance& each, duration length);

  void InjectInstanceFault(std::set<std::string>& affected,
                           const std::string& id, duration length,
                           const std::string& what);

  void Partition(const std::string& one, const std::string& other,
                 duration length);

  model_options options_;
  std::mt19937_64 random_;
  time_point now_;
  std::priority_queue<event> events_;
  std::uint64_t order_ = 0;
  /// All processes, in the order of their starts.
  std::deque<instance> instances_;
  std::map<std::string, list_entry> entries_;
  std::uint64_t list_version_ = 1;
  std::uint64_t last_id_ = 0;
  std::uint16_t last_address_ = 0;
  std::int64_t last_start_ = 0;
  bool orders_lost_ = false;
  std::uint64_t last_order_write_ = 0;
  std::vector<host> hosts_;
  std::vector<pending_write> pending_writes_;
  std::set<std::uint64_t> commits_after_replacement_;
  std::set<std::uint64_t> acknowledged_;
  std::map<std::uint64_t, time_point> acknowledged_at_;
  /// For each entry, the number of the last check that found it; avoids
  /// clearing a set for each check.
  std::vector<std::uint64_t> entry_stamps_;
  std::uint64_t check_stamp_ = 0;
  std::uint64_t last_number_ = 0;
  term_number newest_term_ = 1;
  std::int64_t highest_token_ = 0;
  store_state store_;
  std::vector<store_copy> copies_;
  bool store_loses_calls_ = false;
  std::multiset<std::pair<std::string, std::string>> partitions_;
  std::set<std::string> unresponsive_;
  std::set<std::string> not_receiving_;
  duration max_apply_delay_ = milliseconds(40);
  sassafraswick::replacement_settings settings_;
  model_report report_;
};

}  // namespace promotion_model

#endif  // TEST_SASSAFRASWICK_FAILOVER_MODEL_H_
