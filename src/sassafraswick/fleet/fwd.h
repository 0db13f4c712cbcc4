#ifndef SASSAFRASWICK_FLEET_FWD_H_
#define SASSAFRASWICK_FLEET_FWD_H_

namespace sassafraswick {

class entry_return_tracker;
class hub_monitor;
class evacuated_zones;
class store_change_log;
class store_era_tracker;
struct store_revision;
class record_rate_limiter;
class version_catch_up;

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_FLEET_FWD_H_
