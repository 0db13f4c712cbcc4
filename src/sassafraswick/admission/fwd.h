#ifndef SASSAFRASWICK_ADMISSION_FWD_H_
#define SASSAFRASWICK_ADMISSION_FWD_H_

/// @file
/// Forward declarations of the module `admission`, which decides in which order
/// statements run at an instance, and which are rejected.

namespace sassafraswick {

struct admission_request;
struct admission_rejection;
struct admission_change;
class admission_queue;
class start_sequence;
class work_estimate;

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_ADMISSION_FWD_H_
