#ifndef SASSAFRASWICK_GATEWAY_ORDER_MEMORY_H_
#define SASSAFRASWICK_GATEWAY_ORDER_MEMORY_H_

#include <map>
#include <optional>
#include <string>

#include "sassafraswick/failover/replacement_state.h"
#include "sassafraswick/fleet/store_era.h"

/// @file
/// What a host knows of orders without the store: its own of earlier claims of
/// the failover lease, and whether the store may lack the record of another
/// host's.

namespace sassafraswick {

/// An order that this host knew of when it lost the failover lease.
struct remembered_order {
  promotion_order order;
  /// Of its record; unknown if it has none in the era of `claim`.
  store_revision record_revision;
  /// Revision of the claim under which this host held the lease.
  store_revision claim;
};

class order_memory {
 public:
  void BeginClaim(const store_revision& claim);

  /// Notes that this host holds the lease.
  /// @param may_lack_records The store may have lost records of earlier
  /// holders' orders that may still take effect.
  /// @param valid_until When the lease ends unless it is renewed.
  void Hold(bool may_lack_records, time_point valid_until);

  /// Notes that this host doesn't hold the lease.
  /// @param era The newest one that this host knows of.
  /// @param has_read Whether it had read the records under the claim.
  void EndClaim(store_era era, bool has_read, time_point now);

  /// Unknown while this host does not hold the lease.
  [[nodiscard]] const store_revision& Claim() const { return claim_; }

  /// Returns whether the records and what this host remembers tell every order
  /// of before the claim that may still take effect.
  [[nodiscard]] bool IsComplete() const { return is_complete_; }

  /// Keeps an outstanding order of the claim that ends.
  void Remember(const std::string& pool, const promotion_order& order,
                const store_revision& record_revision);
  void Forget(const std::string& pool) { remembered_.erase(pool); }

  /// Records that the last request of an order has no effect.
  void Withdraw(const std::string& pool, const promotion_order& request);

  /// Returns an order that is adopted under the current claim, whatever the
  /// records say: nobody else has held the lease since, or the store may have
  /// lost its record with an era.
  [[nodiscard]] std::optional<remembered_order> FindAdopted(
      const std::string& pool, time_point now) const;

 private:
  store_revision claim_;
  bool is_complete_ = false;
  /// Era that began while this host held the lease and knew all orders; zero if
  /// there is none.
  store_era complete_since_era_ = 0;
  time_point valid_until_;
  std::map<std::string, remembered_order> remembered_;
};

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_GATEWAY_ORDER_MEMORY_H_
