#ifndef SASSAFRASWICK_CORE_FWD_H_
#define SASSAFRASWICK_CORE_FWD_H_

namespace sassafraswick {

struct error;
struct log_point;
struct term_start;

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CORE_FWD_H_
