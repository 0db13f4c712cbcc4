#ifndef SASSAFRASWICK_LENDING_HOME_ASSIGNMENT_H_
#define SASSAFRASWICK_LENDING_HOME_ASSIGNMENT_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "sassafraswick/lending/instance_home.h"

/// @file
/// Rendezvous hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam,
/// 2018): no host is home of many instances while others of its availability
/// zone have none.

namespace sassafraswick {

/// An instance whose connections are shared.
struct instance_location {
  std::string id;
  std::string availability_zone;

  bool operator==(const instance_location&) const = default;
};

/// Most instances that a host is home of, relative to its share of its zone's
/// capacity and rounded up.
inline constexpr double kHomeLoadFactor = 1.25;

/// Product of instances and hosts up to which loads are bounded. Every host has
/// to rank all instances for it, not only those that it uses.
inline constexpr std::size_t kMaxBoundedPairs = 16'384;

/// Chooses the home of each instance: the first host in its ranking that is
/// not full. All hosts that know the same instances and candidates choose
/// alike; where they differ, so do the homes of few instances.
/// @return Homes by instance; empty if there are no usable candidates, or more
/// pairs than `kMaxBoundedPairs`.
[[nodiscard]] std::map<std::string, std::string> AssignHomes(
    std::vector<instance_location> instances,
    std::vector<home_candidate> candidates);

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_LENDING_HOME_ASSIGNMENT_H_
