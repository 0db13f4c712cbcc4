#ifndef SASSAFRASWICK_ROUTING_FWD_H_
#define SASSAFRASWICK_ROUTING_FWD_H_

namespace sassafraswick {

struct request_entry;
struct connection_counts;
struct dispatch_settings;
struct dispatch_table;
struct attempt;
struct statement_class;
class hub_ranking;
class instance_score;
class response_times;
class retry_budget;
class slot_usage;
class work_estimates;

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_ROUTING_FWD_H_
