#ifndef TEST_PLATFORM_PROCESS_FAULTS_H_
#define TEST_PLATFORM_PROCESS_FAULTS_H_

#include <functional>
#include <random>
#include <vector>

#include "test/platform/standin_platform.h"

/// @file
/// Faults of the soak test after which another process runs under an instance's
/// identifier or at its address, or another leads later than expected.

namespace test_platform {

/// One kind of fault.
struct fault_kind {
  const char* name;
  /// Starts the fault.
  /// @return Function that ends the fault.
  std::function<void()> (*start)(standin_platform& platform,
                                 std::mt19937_64& random);
};

[[nodiscard]] const std::vector<fault_kind>& ProcessFaults();

/// The primary crashes, and promotions that are requested until it is back take
/// effect 1 to 5 s late.
[[nodiscard]] const fault_kind& LateOrders();

}  // namespace test_platform

#endif  // TEST_PLATFORM_PROCESS_FAULTS_H_
