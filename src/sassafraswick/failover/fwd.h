#ifndef SASSAFRASWICK_FAILOVER_FWD_H_
#define SASSAFRASWICK_FAILOVER_FWD_H_

namespace sassafraswick {

struct instance_report;
struct instance_entry;
struct group_state;
struct failover_settings;
struct failover_state;

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_FAILOVER_FWD_H_
