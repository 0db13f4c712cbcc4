#ifndef SASSAFRASWICK_CONFIG_FWD_H_
#define SASSAFRASWICK_CONFIG_FWD_H_

namespace sassafraswick {

struct daemon_settings;
struct route;
struct pool;
struct organisation;
struct target;
struct key_record;
struct table_set;
struct configuration;

}  // namespace sassafraswick

#endif  // SASSAFRASWICK_CONFIG_FWD_H_
