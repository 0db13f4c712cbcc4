#ifndef SASSAFRASWICK_LIMITS_FWD_H_
#define SASSAFRASWICK_LIMITS_FWD_H_

namespace sassafraswick {

class fair_scheduler;

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_LIMITS_FWD_H_
