#include "sassafraswick/admission/work_estimate.h"

#include <catch2/catch.hpp>

namespace sassafraswick {
namespace {

using std::chrono::milliseconds;

TEST_CASE("classes of statements with different work are told apart",
          "[admission]") {
  work_estimate estimate;
  const work_class quick{work_kind::kCommit, 0};
  const work_class slow{work_kind::kRead, 2};
  for (int i = 0; i < 100; ++i) {
    estimate.Record(quick, milliseconds(5));
    estimate.Record(slow, milliseconds(i % 10 == 0 ? 90 : 30));
  }
  CHECK(estimate.Mean(quick) == milliseconds(5));
  CHECK(estimate.Mean(slow) > milliseconds(30));
  CHECK(estimate.Mean(slow) < milliseconds(45));
  CHECK(estimate.High(slow) >= milliseconds(90));
  CHECK(estimate.High(quick) < milliseconds(10));
}

TEST_CASE("an unknown class is assumed to be like the others", "[admission]") {
  work_estimate estimate;
  const work_class unknown{work_kind::kWrite, 1};
  CHECK(estimate.Mean(unknown) > duration::zero());
  estimate.Record({work_kind::kRead, 1}, milliseconds(40));
  CHECK(estimate.Mean(unknown) == milliseconds(40));
  CHECK(estimate.High(unknown) > milliseconds(40));
}

}  // namespace
}  // namespace sassafraswick
